#include "settings_template.hpp"

#include <boost/json/serialize.hpp>

#include <charconv>
#include <stdexcept>
#include <vector>

namespace pomelo::review {
namespace {

namespace json = boost::json;

//! What a name is looked up in; the innermost is the last.
struct scope {
  const json::value *Entry;
  std::string Position; //!< Key or index of the entry.
  bool Last = false;
};

const json::value *member(const json::value &Of, std::string_view Name) {
  if (Of.is_object())
    return Of.as_object().if_contains(Name);
  std::size_t Index = 0;
  const auto [End, Failure] =
      std::from_chars(Name.data(), Name.data() + Name.size(), Index);
  const bool Number =
      Failure == std::errc() && End == Name.data() + Name.size();
  return Of.is_array() && Number && Index < Of.as_array().size()
             ? &Of.as_array()[Index]
             : nullptr;
}

const json::value *lookUp(const std::vector<scope> &Scopes,
                          std::string_view Name) {
  if (Name == ".")
    return Scopes.back().Entry;
  const std::string_view First = Name.substr(0, Name.find('.'));
  const json::value *Found = nullptr;
  for (auto Scope = Scopes.rbegin(); Scope != Scopes.rend() && !Found; ++Scope)
    Found = member(*Scope->Entry, First);
  while (Found && Name.find('.') != std::string_view::npos) {
    Name.remove_prefix(Name.find('.') + 1);
    Found = member(*Found, Name.substr(0, Name.find('.')));
  }
  return Found;
}

std::string plain(const json::value *Value) {
  if (!Value || Value->is_null())
    return {};
  if (Value->is_string())
    return std::string(Value->as_string());
  if (!Value->is_array())
    return json::serialize(*Value);
  std::string Text;
  for (const json::value &Item : Value->as_array())
    Text += (Text.empty() ? "" : ",") + plain(&Item);
  return Text;
}

bool absent(const json::value *Value) {
  return !Value || Value->is_null() || (Value->is_bool() && !Value->as_bool());
}

std::string fill(std::string_view Text, std::vector<scope> &Scopes);

std::string fillSection(std::string_view Inside, const json::value *Value,
                        std::vector<scope> &Scopes) {
  std::string Result;
  const auto Repeat = [&](const json::value &Entry, std::string Position,
                          bool Last) {
    Scopes.push_back({&Entry, std::move(Position), Last});
    Result += fill(Inside, Scopes);
    Scopes.pop_back();
  };
  if (absent(Value))
    return Result;
  if (Value->is_array()) {
    const json::array &Items = Value->as_array();
    for (std::size_t Index = 0; Index < Items.size(); ++Index)
      Repeat(Items[Index], std::to_string(Index), Index + 1 == Items.size());
  } else if (Value->is_object()) {
    std::size_t Left = Value->as_object().size();
    for (const auto &Item : Value->as_object())
      Repeat(Item.value(), std::string(Item.key()), --Left == 0);
  } else {
    Result = fill(Inside, Scopes);
  }
  return Result;
}

//! The text of one placeholder that is no section.
std::string placeholder(std::string_view Name,
                        const std::vector<scope> &Scopes) {
  constexpr std::string_view AsJson = "|json";
  if (Name == "@")
    return Scopes.back().Position;
  if (Name == ",")
    return Scopes.back().Last ? "" : ",";
  if (!Name.ends_with(AsJson))
    return plain(lookUp(Scopes, Name));
  Name.remove_suffix(AsJson.size());
  const json::value *Value = lookUp(Scopes, Name);
  return Value ? json::serialize(*Value) : "null";
}

std::string fill(std::string_view Text, std::vector<scope> &Scopes) {
  std::string Result;
  for (;;) {
    const auto Open = Text.find("{{");
    const auto Close =
        Open == std::string_view::npos ? Open : Text.find("}}", Open);
    if (Close == std::string_view::npos)
      return Result.append(Text);
    Result.append(Text.substr(0, Open));
    const std::string_view Name = Text.substr(Open + 2, Close - Open - 2);
    Text.remove_prefix(Close + 2);
    if (!Name.starts_with('#') && !Name.starts_with('^')) {
      Result += placeholder(Name, Scopes);
      continue;
    }
    const std::string End = "{{/" + std::string(Name.substr(1)) + "}}";
    const auto EndAt = Text.find(End);
    if (EndAt == std::string_view::npos)
      throw std::runtime_error("section without an end: " + End);
    const std::string_view Inside = Text.substr(0, EndAt);
    const json::value *Value = lookUp(Scopes, Name.substr(1));
    if (Name.starts_with('#'))
      Result += fillSection(Inside, Value, Scopes);
    else if (absent(Value))
      Result += fill(Inside, Scopes);
    Text.remove_prefix(EndAt + End.size());
  }
}

} // namespace

std::string fillTemplate(std::string_view Text, const json::value &Fields) {
  std::vector<scope> Scopes{{&Fields, {}, true}};
  return fill(Text, Scopes);
}

} // namespace pomelo::review
