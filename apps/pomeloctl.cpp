#include "pomeloswitch/cli/operator_commands.hpp"

int main(int Argc, char **Argv) {
  return pomelo::runOperatorCommand({Argv + 1, Argv + Argc});
}
