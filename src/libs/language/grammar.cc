#include "libs/language/grammar.h"

#include <utility>

#include "libs/language/grammar_tokens.h"

namespace bilberryspool::language::internal {
namespace {

using config::Allow;
using config::AnyTarget;
using config::CancelMove;
using config::CancelReplacement;
using config::Change;
using config::CompareScope;
using config::DeclareGroup;
using config::DeclarePriority;
using config::DeclareService;
using config::DeclareTarget;
using config::DeclareWorkspace;
using config::Drain;
using config::Expectation;
using config::ExpertKey;
using config::Forbid;
using config::ForbidSpec;
using config::GroupSpec;
using config::Move;
using config::MoveSpec;
using config::Pin;
using config::PinSpec;
using config::PlacementSpec;
using config::PrioritySpec;
using config::QuietWindow;
using config::Remove;
using config::ReplaceControlMember;
using config::ServiceKind;
using config::ServiceSpec;
using config::SetSetting;
using config::SettingSpec;
using config::TargetSelector;
using config::TargetSpec;
using config::Undrain;
using config::Unpin;
using config::WorkspaceSpec;

// Semantic actions. X3 passes the context; the attribute of the parser just
// matched is stored in the value of the enclosing rule.

template <typename Target, typename Value>
void AssignConverted(Target& target, Value&& value) {
  target = Target(std::forward<Value>(value));
}

// Sets a member.
template <auto Member>
struct Set {
  template <typename Context>
  void operator()(Context& context) const {
    AssignConverted(x3::_val(context).*Member, x3::_attr(context));
  }
};

// Sets a member to a constant.
template <auto Member, auto Value>
struct SetTo {
  template <typename Context>
  void operator()(Context& context) const {
    x3::_val(context).*Member = Value;
  }
};

// Sets a member of a member, such as one of an expert's key.
template <auto Outer, auto Inner>
struct SetIn {
  template <typename Context>
  void operator()(Context& context) const {
    AssignConverted(x3::_val(context).*Outer.*Inner, x3::_attr(context));
  }
};

// Appends to a member.
template <auto Member>
struct Append {
  template <typename Context>
  void operator()(Context& context) const {
    (x3::_val(context).*Member).emplace_back(x3::_attr(context));
  }
};

// Sets the whole value, a variant, to one of its alternatives.
template <typename Alternative>
struct AssignAlternative {
  template <typename Context>
  void operator()(Context& context) const {
    x3::_val(context) = Alternative(x3::_attr(context));
  }
};

// Appends a change that consists of the parsed object or key.
template <typename ChangeType>
struct AppendChange {
  template <typename Context>
  void operator()(Context& context) const {
    using Attribute = std::decay_t<decltype(x3::_attr(context))>;
    if constexpr (std::is_same_v<Attribute, ChangeType>) {
      x3::_val(context).changes.emplace_back(x3::_attr(context));
    } else {
      x3::_val(context).changes.emplace_back(
          ChangeType{std::move(x3::_attr(context))});
    }
  }
};

// Appends the removal of the object whose name was parsed.
template <typename Spec>
struct AppendRemoval {
  template <typename Context>
  void operator()(Context& context) const {
    x3::_val(context).changes.emplace_back(
        Remove<Spec>{typename Spec::Key(x3::_attr(context))});
  }
};

struct AppendCancelReplacement {
  template <typename Context>
  void operator()(Context& context) const {
    x3::_val(context).changes.emplace_back(
        CancelReplacement{NodeId(x3::_attr(context))});
  }
};

template <CompareScope Scope>
struct SetExpectation {
  template <typename Context>
  void operator()(Context& context) const {
    x3::_val(context).expected =
        Expectation{ConfigVersion(x3::_attr(context)), Scope};
  }
};

const Token<std::string> kName(&ReadName, "a name");
const Token<std::string> kText(&ReadText, "a name or quoted text");
const Token<std::uint32_t> kNumber(&ReadNumber, "a number");
const Token<std::uint64_t> kBigNumber(&ReadNumber, "a number");
const Token<double> kDecimal(&ReadDecimal, "a number such as 0.5");
const Token<Duration> kDuration(&ReadDuration, "a duration such as 30s");
const Token<QuietWindow> kWindow(&ReadWindow, "times such as 18:00-21:00");
const Token<Comparison> kComparison(&ReadComparison, "one of = != < > ~");

const auto kSelector =
    x3::rule<struct SelectorTag, TargetSelector>{"selector"} =
        (Word("target") >> kName[AssignAlternative<TargetId>()]) |
        (Word("domain") >> kName[AssignAlternative<FailureDomain>()]) |
        Word("any")[([](auto& context) { x3::_val(context) = AnyTarget(); })];

const auto kExpert = x3::rule<struct ExpertTag, ExpertKey>{"expert"} =
    Word("group") >> kName[Set<&ExpertKey::group>()] >>
    Word("layer") >> kNumber[Set<&ExpertKey::layer>()] >>
    Word("expert") >> kNumber[Set<&ExpertKey::expert>()];

const auto kService = x3::rule<struct ServiceTag, ServiceSpec>{"service"} =
    kName[Set<&ServiceSpec::id>()] >>
    (Word("engine")[SetTo<&ServiceSpec::kind, ServiceKind::kEngine>()] |
     (Word("plain")[SetTo<&ServiceSpec::kind, ServiceKind::kPlain>()] >>
      Word("path") >> kText[Set<&ServiceSpec::path_prefix>()])) >>
    *(Word("idempotent")[SetTo<&ServiceSpec::idempotent, true>()] |
      Word("non-idempotent")[SetTo<&ServiceSpec::idempotent, false>()] |
      (Word("deadline") >> kDuration[Set<&ServiceSpec::deadline>()]));

const auto kWorkspace = x3::rule<struct WorkspaceTag,
                                 WorkspaceSpec>{"workspace"} =
    kName[Set<&WorkspaceSpec::id>()] >>
    *((Word("requests") >>
       kNumber[Set<&WorkspaceSpec::requests_per_second>()]) |
      (Word("concurrent") >>
       kNumber[Set<&WorkspaceSpec::concurrent_requests>()]) |
      (Word("tokens") >> kNumber[Set<&WorkspaceSpec::tokens_per_second>()]) |
      (Word("weight") >> kNumber[Set<&WorkspaceSpec::weight>()]) |
      (Word("priority") >> kName[Set<&WorkspaceSpec::default_priority>()]) |
      (Word("credential") >> kText[Set<&WorkspaceSpec::credential_hash>()]));

const auto kPriority = x3::rule<struct PriorityTag, PrioritySpec>{"priority"} =
    kName[Set<&PrioritySpec::name>()] >>
    Word("level") >> kNumber[Set<&PrioritySpec::level>()];

const auto kGroup = x3::rule<struct GroupTag, GroupSpec>{"group"} =
    kName[Set<&GroupSpec::id>()] >>
    Word("service") >> kName[Set<&GroupSpec::service>()] >>
    Word("ranks") >> kNumber[Set<&GroupSpec::ranks>()] >>
    Word("layers") >> kNumber[Set<&GroupSpec::layers>()] >>
    Word("experts") >> kNumber[Set<&GroupSpec::experts>()] >>
    -((Word("members") >> (kName[Append<&GroupSpec::members>()] % Sign(","))) |
      (Word("on") >> kSelector[Set<&GroupSpec::targets>()])) >>
    *((Word("skew-weight") >> kDecimal[Set<&GroupSpec::skew_weight>()]) |
      (Word("rebalance-weight") >>
       kDecimal[Set<&GroupSpec::rebalance_weight>()]) |
      (Word("quiet") >> kWindow[Append<&GroupSpec::quiet_windows>()]));

const auto kTarget = x3::rule<struct TargetTag, TargetSpec>{"target"} =
    kName[Set<&TargetSpec::id>()] >> Word("fencing") >>
    (Word("yes")[SetTo<&TargetSpec::checks_fencing, true>()] |
     Word("no")[SetTo<&TargetSpec::checks_fencing, false>()]);

const auto kPlacement =
    x3::rule<struct PlacementTag, PlacementSpec>{
        "placement"} = Word("service") >>
                       kName[Set<&PlacementSpec::service>()] >>
                       Word("on") >> kSelector[Set<&PlacementSpec::targets>()];

const auto kPin = x3::rule<struct PinTag, PinSpec>{"pin"} =
    kExpert[Set<&PinSpec::expert>()] >> Word("to") >>
    Word("rank") >> kNumber[Set<&PinSpec::rank>()];

const auto kForbid = x3::rule<struct ForbidTag, ForbidSpec>{"forbid"} =
    kExpert[Set<&ForbidSpec::expert>()] >> Word("on") >>
    Word("rank") >> kNumber[Set<&ForbidSpec::rank>()];

const auto kMove = x3::rule<struct MoveTag, MoveSpec>{"move"} =
    kExpert[Set<&MoveSpec::expert>()] >> Word("from") >>
    Word("rank") >> kNumber[Set<&MoveSpec::from>()] >> Word("to") >>
    Word("rank") >> kNumber[Set<&MoveSpec::to>()];

const auto kSetting = x3::rule<struct SettingTag, SettingSpec>{"setting"} =
    kName[Set<&SettingSpec::name>()] >> kBigNumber[Set<&SettingSpec::value>()];

const auto kReplacement =
    x3::rule<struct ReplacementTag, ReplaceControlMember>{"replacement"} =
        Word("member") >> kName[Set<&ReplaceControlMember::outgoing>()] >>
        Word("with") >> kName[Set<&ReplaceControlMember::incoming>()] >>
        Word("at") >> kName[Set<&ReplaceControlMember::address>()] >>
        Word("in") >>
        Word("domain") >> kName[Set<&ReplaceControlMember::domain>()];

// Appends the removal of a placement or a forbidden expert, whose key is parsed
// as the whole object.
template <typename Spec>
struct AppendRemovalByKey {
  template <typename Context>
  void operator()(Context& context) const {
    x3::_val(context).changes.emplace_back(
        Remove<Spec>{x3::_attr(context).key()});
  }
};

const auto kDeclaration =
    x3::rule<struct DeclarationTag, ChangeStatement>{"declaration"} =
        (Word("service") >> kService[AppendChange<DeclareService>()]) |
        (Word("workspace") >> kWorkspace[AppendChange<DeclareWorkspace>()]) |
        (Word("priority") >> kPriority[AppendChange<DeclarePriority>()]) |
        (Word("group") >> kGroup[AppendChange<DeclareGroup>()]) |
        (Word("target") >> kTarget[AppendChange<DeclareTarget>()]);

const auto kRemoval = x3::rule<struct RemovalTag, ChangeStatement>{"removal"} =
    (Word("service") >> kName[AppendRemoval<ServiceSpec>()]) |
    (Word("workspace") >> kName[AppendRemoval<WorkspaceSpec>()]) |
    (Word("priority") >> kName[AppendRemoval<PrioritySpec>()]) |
    (Word("group") >> kName[AppendRemoval<GroupSpec>()]) |
    (Word("target") >> kName[AppendRemoval<TargetSpec>()]);

const auto kAction = x3::rule<struct ActionTag, ChangeStatement>{"order"} =
    (Word("allow") >> kPlacement[AppendChange<Allow>()]) |
    (Word("deny") >> kPlacement[AppendRemovalByKey<PlacementSpec>()]) |
    (Word("drain") >> kSelector[AppendChange<Drain>()]) |
    (Word("undrain") >> kSelector[AppendChange<Undrain>()]) |
    (Word("pin") >> kPin[AppendChange<Pin>()]) |
    (Word("unpin") >> kExpert[AppendChange<Unpin>()]) |
    (Word("forbid") >> kForbid[AppendChange<Forbid>()]) |
    (Word("permit") >> kForbid[AppendRemovalByKey<ForbidSpec>()]) |
    (Word("move") >> kMove[AppendChange<Move>()]) |
    (Word("cancel") >> Word("move") >> kExpert[AppendChange<CancelMove>()]) |
    (Word("cancel") >> Word("replacement") >> Word("of") >> Word("member") >>
     kName[AppendCancelReplacement()]) |
    (Word("set") >> kSetting[AppendChange<SetSetting>()]) |
    (Word("unset") >> kName[AppendRemoval<SettingSpec>()]) |
    (Word("replace") >> kReplacement[AppendChange<ReplaceControlMember>()]);

// Appends the changes of a nested rule to the statement.
struct AppendChanges {
  template <typename Context>
  void operator()(Context& context) const {
    for (Change& change : x3::_attr(context).changes) {
      x3::_val(context).changes.push_back(std::move(change));
    }
  }
};

const auto kChanges = x3::rule<struct ChangesTag, ChangeStatement>{"changes"} =
    (((Word("declare") >> kDeclaration[AppendChanges()]) |
      (Word("remove") >> kRemoval[AppendChanges()]) |
      kAction[AppendChanges()]) %
     Sign(";")) >>
    -((Word("at") >> Word("version") >>
       kBigNumber[SetExpectation<CompareScope::kConfiguration>()]) |
      (Word("since") >> Word("version") >>
       kBigNumber[SetExpectation<CompareScope::kObjects>()])) >>
    -(Word("as") >> kText[Set<&ChangeStatement::id>()]);

const auto kWait = x3::rule<struct WaitTag, WaitStatement>{"wait"} =
    Word("wait") >>
    Word("version") >> kBigNumber[Set<&WaitStatement::version>()] >>
    -(Word("timeout") >> kDuration[Set<&WaitStatement::timeout>()]);

const auto kFilter = x3::rule<struct FilterTag, Filter>{"filter"} =
    kName[Set<&Filter::column>()] >> kComparison[Set<&Filter::comparison>()] >>
    kText[Set<&Filter::value>()];

const auto kShow = x3::rule<struct ShowTag, ShowStatement>{"show"} =
    Word("show") >> SubjectParser()[Set<&ShowStatement::subject>()] >>
    -(Word("where") >>
      (kFilter[Append<&ShowStatement::where>()] % Word("and")));

const auto kWhy = x3::rule<struct WhyTag, WhySubject>{"why"} =
    Word("why") >>
    ((Word("target") >> kName[AssignAlternative<TargetId>()]) |
     (Word("service") >> kName[AssignAlternative<ServiceId>()]) |
     (Word("group") >> kName[AssignAlternative<GroupId>()]) |
     (Word("workspace") >> kName[AssignAlternative<Workspace>()]) |
     (Word("request") >> kText[AssignAlternative<RequestId>()]));

// Wraps the parsed part in a statement of the given type.
template <typename StatementType>
struct MakeStatement {
  template <typename Context>
  void operator()(Context& context) const {
    x3::_val(context) = StatementType{std::move(x3::_attr(context))};
  }
};

template <typename StatementType>
struct AssignStatement {
  template <typename Context>
  void operator()(Context& context) const {
    x3::_val(context) = std::move(x3::_attr(context));
  }
};

struct MakeShowRequest {
  template <typename Context>
  void operator()(Context& context) const {
    x3::_val(context) = ShowRequestStatement{RequestId(x3::_attr(context))};
  }
};

struct MakeHelp {
  template <typename Context>
  void operator()(Context& context) const {
    x3::_val(context) = HelpStatement();
  }
};

const auto kStatement = x3::rule<struct StatementTag, Statement>{"statement"} =
    (kChanges[AssignStatement<ChangeStatement>()] |
     (Word("plan") >> kChanges[MakeStatement<PlanStatement>()]) |
     kWait[AssignStatement<WaitStatement>()] |
     (Word("show") >> Word("request") >> kText[MakeShowRequest()]) |
     kShow[AssignStatement<ShowStatement>()] |
     kWhy[MakeStatement<WhyStatement>()] | Word("help")[MakeHelp()]) >>
    End();

}  // namespace

std::optional<Statement> ParseCompleteStatement(std::string_view text,
                                                Expectations& expectations) {
  const ParseState state{text, expectations};
  const char* first = text.data();
  const char* last = first + text.size();
  Statement statement;
  const auto grammar = x3::with<ParseStateTag>(state)[kStatement];
  if (!x3::phrase_parse(first, last, grammar, x3::ascii::space, statement)) {
    return std::nullopt;
  }
  return statement;
}

}  // namespace bilberryspool::language::internal
