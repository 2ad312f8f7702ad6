// The tokens of the grammar: words, names, numbers. A token that doesn't match
// records what it expected in the Expectations.

#ifndef LIBS_LANGUAGE_GRAMMAR_TOKENS_H_
#define LIBS_LANGUAGE_GRAMMAR_TOKENS_H_

#include <charconv>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include <boost/spirit/home/x3.hpp>

#include "libs/base/time.h"
#include "libs/config/group_spec.h"
#include "libs/language/expectations.h"
#include "libs/language/grammar.h"
#include "libs/language/statement.h"

namespace bilberryspool::language::internal {

namespace x3 = boost::spirit::x3;

// State of one parse; passed to the tokens in the X3 context.
struct ParseState {
  std::string_view text;
  Expectations& expectations;

  std::size_t OffsetOf(const char* position) const {
    return static_cast<std::size_t>(position - text.data());
  }
};
struct ParseStateTag;

// Each function reads one value at `first` and moves `first` behind it. If it
// returns false, `first` is unchanged.
bool ReadName(const char*& first, const char* last, std::string& value);
bool ReadQuoted(const char*& first, const char* last, std::string& value);
bool ReadNumber(const char*& first, const char* last, std::uint32_t& value);
bool ReadNumber(const char*& first, const char* last, std::uint64_t& value);
bool ReadDecimal(const char*& first, const char* last, double& value);
bool ReadDuration(const char*& first, const char* last, Duration& value);
bool ReadWindow(const char*& first,
                const char* last,
                config::QuietWindow& value);
bool ReadText(const char*& first, const char* last, std::string& value);
bool ReadComparison(const char*& first, const char* last, Comparison& value);
bool ReadWord(const char*& first, const char* last, std::string_view word);
bool ReadSign(const char*& first, const char* last, std::string_view sign);

// A token with a value. The description is recorded as expected if the token
// doesn't match.
template <typename Value>
struct Token : x3::parser<Token<Value>> {
  using attribute_type = Value;
  using Reader = bool (*)(const char*& first, const char* last, Value& value);
  // X3 asks for this name. NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool has_attribute = true;

  Token(Reader token_reader, const char* token_description)
      : reader(token_reader), description(token_description) {}

  template <typename Context, typename RuleContext, typename Attribute>
  bool parse(const char*& first,
             const char* const& last,
             const Context& context,
             const RuleContext& /*rule_context*/,
             Attribute& attribute) const {
    const char* position = first;
    x3::skip_over(position, last, context);
    const char* end = position;
    Value value{};
    if (reader(end, last, value)) {
      first = end;
      x3::traits::move_to(value, attribute);
      return true;
    }
    const ParseState& state = x3::get<ParseStateTag>(context);
    state.expectations.AddDescription(state.OffsetOf(position), description);
    return false;
  }

  Reader reader;
  const char* description;
};

// A fixed word or sign.
struct Fixed : x3::parser<Fixed> {
  using attribute_type = x3::unused_type;
  using Reader = bool (*)(const char*& first,
                          const char* last,
                          std::string_view text);
  // X3 asks for this name. NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool has_attribute = false;

  Fixed(Reader fixed_reader, const char* fixed_text)
      : reader(fixed_reader), text(fixed_text) {}

  template <typename Context, typename RuleContext, typename Attribute>
  bool parse(const char*& first,
             const char* const& last,
             const Context& context,
             const RuleContext& /*rule_context*/,
             Attribute& /*attribute*/) const {
    const char* position = first;
    x3::skip_over(position, last, context);
    const char* end = position;
    if (reader(end, last, text)) {
      first = end;
      return true;
    }
    const ParseState& state = x3::get<ParseStateTag>(context);
    state.expectations.AddWord(state.OffsetOf(position), text);
    return false;
  }

  Reader reader;
  const char* text;
};

inline Fixed Word(const char* word) {
  return {&ReadWord, word};
}

inline Fixed Sign(const char* sign) {
  return {&ReadSign, sign};
}

// Any of the words of kSubjectWords.
struct SubjectParser : x3::parser<SubjectParser> {
  using attribute_type = Subject;
  // X3 asks for this name. NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool has_attribute = true;

  template <typename Context, typename RuleContext, typename Attribute>
  bool parse(const char*& first,
             const char* const& last,
             const Context& context,
             const RuleContext& rule_context,
             Attribute& attribute) const {
    for (const SubjectWord& word : kSubjectWords) {
      if (Word(word.word).parse(first, last, context, rule_context,
                                x3::unused)) {
        x3::traits::move_to(Subject(word.subject), attribute);
        return true;
      }
    }
    return false;
  }
};

// The end of the text.
struct End : x3::parser<End> {
  using attribute_type = x3::unused_type;
  // X3 asks for this name. NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool has_attribute = false;

  template <typename Context, typename RuleContext, typename Attribute>
  bool parse(const char*& first,
             const char* const& last,
             const Context& context,
             const RuleContext& /*rule_context*/,
             Attribute& /*attribute*/) const {
    x3::skip_over(first, last, context);
    const ParseState& state = x3::get<ParseStateTag>(context);
    state.expectations.AddDescription(state.OffsetOf(first), "the end");
    return first == last;
  }
};

}  // namespace bilberryspool::language::internal

#endif  // LIBS_LANGUAGE_GRAMMAR_TOKENS_H_
