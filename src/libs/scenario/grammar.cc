#include "libs/scenario/grammar.h"

#include <utility>

#include "libs/language/expectations.h"
#include "libs/language/grammar.h"
#include "libs/language/grammar_tokens.h"

namespace bilberryspool::scenario {
namespace {

namespace x3 = boost::spirit::x3;
using language::internal::End;
using language::internal::Expectations;
using language::internal::ParseState;
using language::internal::ParseStateTag;
using language::internal::Sign;
using language::internal::Token;
using language::internal::Word;

// Semantic actions, as in the operators' grammar: each stores the attribute of
// the parsed part in the value of the enclosing rule.

template <auto Member>
struct Set {
  template <typename Context>
  void operator()(Context& context) const {
    x3::_val(context).*Member = x3::_attr(context);
  }
};

template <auto Member, auto Value>
struct SetTo {
  template <typename Context>
  void operator()(Context& context) const {
    x3::_val(context).*Member = Value;
  }
};

template <auto Member>
struct Append {
  template <typename Context>
  void operator()(Context& context) const {
    (x3::_val(context).*Member).push_back(x3::_attr(context));
  }
};

// Clears the default of a list before the first name is appended.
template <auto Member>
struct Clear {
  template <typename Context>
  void operator()(Context& context) const {
    (x3::_val(context).*Member).clear();
  }
};

template <typename Alternative>
struct Become {
  template <typename Context>
  void operator()(Context& context) const {
    x3::_val(context) = Alternative(x3::_attr(context));
  }
};

// Reads the rest of the line, which the operators' grammar parses.
bool ReadRest(const char*& first, const char* last, std::string& value) {
  value = std::string(first, last);
  first = last;
  return !value.empty();
}

// Reads a name up to the colon that ends the operator's prefix.
bool ReadPlainName(const char*& first, const char* last, std::string& value) {
  const char* end = first;
  while (end != last && *end != ':' &&
         language::internal::IsNameCharacter(*end)) {
    ++end;
  }
  if (end == first) {
    return false;
  }
  value = std::string(first, end);
  first = end;
  return true;
}

// Reads a percentage from 0% to 100%.
bool ReadPercent(const char*& first, const char* last, std::uint32_t& value) {
  const auto [end, error] = std::from_chars(first, last, value);
  const bool is_valid =
      error == std::errc() && end != last && *end == '%' && value <= 100;
  if (!is_valid) {
    return false;
  }
  first = end + 1;
  return true;
}

const Token<std::string> kName(&ReadPlainName, "a name");
const Token<std::string> kRest(&ReadRest, "an operator's statement");
const Token<std::uint32_t> kNumber(&language::internal::ReadNumber, "a number");
const Token<std::uint64_t> kVersion(&language::internal::ReadNumber,
                                    "a version");
const Token<std::uint32_t> kPercent(&ReadPercent, "a share such as 5%");
const Token<Duration> kDuration(&language::internal::ReadDuration,
                                "a duration such as 2s");

template <auto Member>
auto Names() {
  return kName[Append<Member>()] % Sign(",");
}

const auto kDeployment =
    x3::rule<struct DeploymentTag, Deployment>{"deployment"} =
        Word("deployment") >>
        *((Word("entries") >> kNumber[Set<&Deployment::entries>()]) |
          (Word("domains")[Clear<&Deployment::domains>()] >>
           Names<&Deployment::domains>()) |
          (Word("control") >> kNumber[Set<&Deployment::control>()]) |
          (Word("spares") >> kNumber[Set<&Deployment::spares>()]) |
          (Word("agents") >> kNumber[Set<&Deployment::agents>()]) |
          (Word("services")[Clear<&Deployment::services>()] >>
           Names<&Deployment::services>()));

const auto kOrder = x3::rule<struct OrderTag, Order>{"order"} =
    Word("operator") >> kName[Set<&Order::operator_name>()] >>
    Word("at") >> kName[Set<&Order::entry>()] >>
    Sign(":") >> kRest[Set<&Order::text>()];

const auto kNameLeader =
    x3::rule<struct NameLeaderTag, NameLeader>{
        "name leader"} = Word("let") >> kName[Set<&NameLeader::name>()] >>
                         Word("be") >> Word("leader");

const auto kFaultNode = x3::rule<struct FaultNodeTag, FaultNode>{"fault"} =
    (Word("kill")[SetTo<&FaultNode::fault, NodeFault::kKill>()] |
     Word("restart")[SetTo<&FaultNode::fault, NodeFault::kRestart>()] |
     (Word("lose") >>
      Word("disk")[SetTo<&FaultNode::fault, NodeFault::kLoseDisk>()]) |
     Word("freeze")[SetTo<&FaultNode::fault, NodeFault::kFreeze>()] |
     Word("thaw")[SetTo<&FaultNode::fault, NodeFault::kThaw>()] |
     Word("stop")[SetTo<&FaultNode::fault, NodeFault::kPlannedStop>()]) >>
    kName[Set<&FaultNode::node>()];

const auto kCut = x3::rule<struct CutTag, Cut>{"cut"} =
    ((Word("one-way") >> Word("cut")[SetTo<&Cut::one_way, true>()]) |
     Word("cut")) >>
    Names<&Cut::from>() >> Word("from") >> Names<&Cut::to>();

const auto kHeal = x3::rule<struct HealTag, Heal>{"heal"} =
    Word("heal")[([](auto& context) { x3::_val(context) = Heal{}; })];

const auto kDelay = x3::rule<struct DelayTag, SetDelay>{"delay"} =
    Word("delay") >> kDuration[Set<&SetDelay::max_delay>()];
const auto kDuplication =
    x3::rule<struct DuplicationTag, SetDuplication>{"duplication"} =
        Word("duplicate") >> kPercent[Set<&SetDuplication::percent>()];
const auto kLoss = x3::rule<struct LossTag, SetLoss>{"loss"} =
    Word("drop") >> kPercent[Set<&SetLoss::percent>()];

const auto kSend = x3::rule<struct SendTag, SendRequest>{"send"} =
    Word("send") >> Word("request") >> kName[Set<&SendRequest::id>()] >>
    -(Word("service") >> kName[Set<&SendRequest::service>()]) >>
    -Word("non-idempotent")[SetTo<&SendRequest::idempotent, false>()] >>
    Word("via") >> kName[Set<&SendRequest::entry>()];

const auto kResend = x3::rule<struct ResendTag, ResendRequest>{"resend"} =
    Word("resend") >> Word("request") >> kName[Set<&ResendRequest::id>()] >>
    Word("via") >> kName[Set<&ResendRequest::entry>()];

const auto kLoad = x3::rule<struct LoadTag, Load>{"load"} =
    Word("load") >> kNumber[Set<&Load::per_second>()] >>
    -(Word("service") >> kName[Set<&Load::service>()]) >>
    -Word("non-idempotent")[SetTo<&Load::idempotent, false>()] >>
    Word("for") >> kDuration[Set<&Load::duration>()];

const auto kWait = x3::rule<struct WaitTag, Wait>{"wait"} =
    Word("after") >> kDuration[Set<&Wait::duration>()];

const auto kRandomFaults = x3::rule<struct RandomTag, RandomFaults>{"random"} =
    Word("random") >> Word("faults") >>
    Word("for") >> kDuration[Set<&RandomFaults::duration>()];

const auto kInForce = x3::rule<struct InForceTag, InForce>{"in force"} =
    Word("in") >> Word("force") >>
    (Word("latest") | kVersion[Set<&InForce::version>()]) >>
    (Word("everywhere") | (Word("at") >> kName[Set<&InForce::node>()]));

const auto kHasLeader = x3::rule<struct HasLeaderTag, HasLeader>{"leader"} =
    (Word("one") >> Word("leader")[SetTo<&HasLeader::only, true>()]) |
    (Word("no") >> Word("leader")[SetTo<&HasLeader::none, true>()]) |
    (Word("leader") >> -(Word("at") >> kName[Set<&HasLeader::node>()]));

const auto kHasOutcome = x3::rule<struct HasOutcomeTag, HasOutcome>{"outcome"} =
    Word("outcome") >> kName[Set<&HasOutcome::id>()] >>
    (Word(
         "answered")[SetTo<&HasOutcome::outcome, RequestOutcome::kAnswered>()] |
     Word("not-run")[SetTo<&HasOutcome::outcome, RequestOutcome::kNotRun>()] |
     Word("unknown")[SetTo<&HasOutcome::outcome, RequestOutcome::kUnknown>()] |
     Word("none")[SetTo<&HasOutcome::outcome, RequestOutcome::kNone>()]);

const auto kRan = x3::rule<struct RanTag, Ran>{"ran"} =
    Word("ran") >> kName[Set<&Ran::id>()] >>
    (Word("once")[SetTo<&Ran::runs, Runs::kOnce>()] |
     Word("never")[SetTo<&Ran::runs, Runs::kNever>()] |
     (Word("at") >> Word("most") >>
      Word("once")[SetTo<&Ran::runs, Runs::kAtMostOnce>()]));

const auto kOffered = x3::rule<struct OfferedTag, Offered>{"offered"} =
    Word("target") >> kName[Set<&Offered::target>()] >>
    (Word("offered") | (Word("not") >> Word("offered") >> Word("at") >>
                        Word("all")[SetTo<&Offered::offered, false>()]));

const auto kOrderEnded = x3::rule<struct OrderEndedTag, OrderEnded>{"ended"} =
    -(Word("operator") >> kName[Set<&OrderEnded::operator_name>()]) >>
    ((Word(
          "accepted")[SetTo<&OrderEnded::outcome, OrderOutcome::kAccepted>()] >>
      -(Word("as") >> Word("version") >>
        kVersion[Set<&OrderEnded::version>()])) |
     Word("refused")[SetTo<&OrderEnded::outcome, OrderOutcome::kRefused>()] |
     Word("unanswered")[SetTo<&OrderEnded::outcome,
                              OrderOutcome::kUnanswered>()]);

const auto kHasVoter = x3::rule<struct HasVoterTag, HasVoter>{"voter"} =
    Word("voter") >> kName[Set<&HasVoter::node>()] >>
    -Word("gone")[SetTo<&HasVoter::votes, false>()];

const auto kCondition = x3::rule<struct ConditionTag, Condition>{"condition"} =
    kInForce[Become<InForce>()] | kHasLeader[Become<HasLeader>()] |
    kHasOutcome[Become<HasOutcome>()] | kRan[Become<Ran>()] |
    kOffered[Become<Offered>()] | kHasVoter[Become<HasVoter>()] |
    kOrderEnded[Become<OrderEnded>()];

const auto kExpect = x3::rule<struct ExpectTag, Expect>{"expect"} =
    (Word("within") >> kDuration[Set<&Expect::within>()] >> Word("expect") >>
     kCondition[Set<&Expect::condition>()]) |
    (Word("expect") >> kCondition[Set<&Expect::condition>()] >>
     -(Word("within") >> kDuration[Set<&Expect::within>()]));

const auto kStatement = x3::rule<struct StatementTag, Statement>{"statement"} =
    (kDeployment[Become<Deployment>()] | kOrder[Become<Order>()] |
     kNameLeader[Become<NameLeader>()] | kFaultNode[Become<FaultNode>()] |
     kCut[Become<Cut>()] | kHeal[Become<Heal>()] | kDelay[Become<SetDelay>()] |
     kDuplication[Become<SetDuplication>()] | kLoss[Become<SetLoss>()] |
     kSend[Become<SendRequest>()] | kResend[Become<ResendRequest>()] |
     kLoad[Become<Load>()] | kWait[Become<Wait>()] |
     kRandomFaults[Become<RandomFaults>()] | kExpect[Become<Expect>()]) >>
    End();

language::ParseError MakeError(const Expectations& expectations,
                               std::string_view line) {
  language::ParseError error;
  error.column = expectations.offset() + 1;
  for (const std::string& word : expectations.words()) {
    error.expected.push_back("\"" + word + "\"");
  }
  for (const std::string& description : expectations.descriptions()) {
    error.expected.push_back(description);
  }
  const std::string_view rest = line.substr(expectations.offset());
  error.found = std::string(rest.substr(0, rest.find(' ')));
  return error;
}

// Checks an operator's statement with the operators' grammar.
std::optional<language::ParseError> CheckOrder(Order& order,
                                               std::string_view line) {
  order.offset = line.size() - order.text.size();
  const auto parsed = language::ParseStatement(order.text);
  if (const auto* error = std::get_if<language::ParseError>(&parsed)) {
    language::ParseError moved = *error;
    moved.column += order.offset;
    return moved;
  }
  const bool is_change = std::holds_alternative<language::ChangeStatement>(
      std::get<language::Statement>(parsed));
  if (!is_change) {
    return language::ParseError{order.offset + 1, {"a change"}, order.text};
  }
  return std::nullopt;
}

}  // namespace

std::variant<Statement, language::ParseError> ParseLine(std::string_view line) {
  Expectations expectations;
  const ParseState state{line, expectations};
  const char* first = line.data();
  const char* last = first + line.size();
  Statement statement;
  const auto grammar = x3::with<ParseStateTag>(state)[kStatement];
  if (!x3::phrase_parse(first, last, grammar, x3::ascii::space, statement)) {
    return MakeError(expectations, line);
  }
  if (auto* order = std::get_if<Order>(&statement)) {
    if (auto error = CheckOrder(*order, line)) {
      return std::move(*error);
    }
  }
  return statement;
}

}  // namespace bilberryspool::scenario
