#include "libs/groups/round_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cmath>
#include <exception>
#include <limits>
#include <sstream>
#include <utility>

namespace bilberryspool::groups {

namespace {

// Selection counts of experts, or their work in units of 1/kWorkUnits, in as
// few bytes as can hold them.
using Amounts = std::vector<std::uint16_t>;
constexpr std::uint64_t kMaxAmount = std::numeric_limits<std::uint16_t>::max();
// Units per selection. With whole numbers, a few selections with a low weight
// would be rounded to nothing.
constexpr double kWorkUnits = 8.0;
// Longer input is rejected; a complete response for 12,000 ranks is shorter.
constexpr std::size_t kMaxBytes = std::size_t{4} << 20U;

struct WireArmed {
  std::uint64_t version = 0;
  std::uint64_t step = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, step);
  }
};

struct WireReport {
  std::uint64_t epoch = 0;
  bool is_open = false;
  std::uint64_t step = 0;
  std::uint64_t map = 0;
  std::optional<std::uint64_t> prepared;
  std::optional<WireArmed> armed;
  std::optional<std::uint64_t> held;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double pace = 1.0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(epoch, is_open, step, map, prepared, armed, held, running, waiting,
            pace);
  }
};

// Numbers with a common scale: each element stands for `unit` times its value.
struct WireAmounts {
  std::uint64_t unit = 1;
  Amounts values;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(unit, values);
  }
};

struct WireGrowth {
  std::uint64_t steps = 0;
  std::uint32_t requests = 0;
  WireAmounts picks;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(steps, requests, picks);
  }
};

struct WireReading {
  WireReport report;
  std::uint64_t mark = 0;
  std::optional<WireGrowth> growth;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(report, mark, growth);
  }
};

struct WireRank {
  std::uint32_t rank = 0;
  std::string engine;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(rank, engine);
  }
};

struct WireRoundRequest {
  std::string group;
  std::uint64_t mark = 0;
  double read_work = 1.0;
  std::uint32_t counters = 0;
  std::vector<WireRank> ranks;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, mark, read_work, counters, ranks);
  }
};

struct WireRankPollResult {
  std::uint32_t rank = 0;
  std::int64_t poll_delay_us = 0;
  WireReport report;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(rank, poll_delay_us, report);
  }
};

struct WireRoundResponse {
  std::string domain;
  std::uint64_t mark = 0;
  std::vector<WireRankPollResult> results;
  WireAmounts work;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(domain, mark, results, work);
  }
};

struct WireMulticastOrder {
  std::vector<WireRank> ranks;
  std::int64_t timeout_us = 0;
  std::string method;
  std::string target;
  std::string content_type;
  std::string body;
  bool is_guarded = false;
  std::int64_t repeat_after_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ranks, timeout_us, method, target, content_type, body, is_guarded,
            repeat_after_us);
  }
};

struct WireMulticastResult {
  std::vector<std::uint32_t> statuses;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(statuses);
  }
};

std::vector<WireRank> ToWire(const std::vector<RankAddress>& ranks) {
  std::vector<WireRank> wire;
  wire.reserve(ranks.size());
  for (const RankAddress& rank : ranks) {
    wire.push_back({rank.rank.value(), rank.engine});
  }
  return wire;
}

std::vector<RankAddress> FromWire(std::vector<WireRank> wire) {
  std::vector<RankAddress> ranks;
  ranks.reserve(wire.size());
  for (WireRank& rank : wire) {
    ranks.push_back({RankIndex(rank.rank), std::move(rank.engine)});
  }
  return ranks;
}

// `amounts` must be whole numbers.
template <typename Number>
WireAmounts PackAmounts(const std::vector<Number>& amounts) {
  WireAmounts packed;
  if (amounts.empty()) {
    return packed;
  }
  const auto most = static_cast<std::uint64_t>(
      *std::max_element(amounts.begin(), amounts.end()));
  packed.unit =
      std::max<std::uint64_t>(1, (most + kMaxAmount - 1) / kMaxAmount);
  packed.values.reserve(amounts.size());
  for (const Number amount : amounts) {
    packed.values.push_back(static_cast<std::uint16_t>(
        (static_cast<std::uint64_t>(amount) + packed.unit / 2) / packed.unit));
  }
  return packed;
}

WireReport ToWire(const EngineReport& report) {
  WireReport wire;
  wire.epoch = report.epoch.value();
  wire.is_open = report.is_open;
  wire.step = report.step.value();
  wire.map = report.map.value();
  if (report.prepared.has_value()) {
    wire.prepared = report.prepared->value();
  }
  if (report.armed.has_value()) {
    wire.armed =
        WireArmed{report.armed->version.value(), report.armed->step.value()};
  }
  if (report.held.has_value()) {
    wire.held = report.held->value();
  }
  wire.running = report.running;
  wire.waiting = report.waiting;
  wire.pace = report.pace;
  return wire;
}

EngineReport FromWire(const WireReport& wire) {
  EngineReport report;
  report.epoch = GroupEpoch(wire.epoch);
  report.is_open = wire.is_open;
  report.step = StepNumber(wire.step);
  report.map = MapVersion(wire.map);
  if (wire.prepared.has_value()) {
    report.prepared = MapVersion(*wire.prepared);
  }
  if (wire.armed.has_value()) {
    report.armed =
        ArmedMap{MapVersion(wire.armed->version), StepNumber(wire.armed->step)};
  }
  if (wire.held.has_value()) {
    report.held = StepNumber(*wire.held);
  }
  report.running = wire.running;
  report.waiting = wire.waiting;
  report.pace = wire.pace;
  return report;
}

template <typename Wire>
std::string ToBytes(const Wire& wire) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(wire);
  return std::move(out).str();
}

template <typename Wire>
std::optional<Wire> FromBytes(std::string_view bytes) {
  // Links are authenticated, so embedded lengths are those that Encode() wrote.
  if (bytes.size() > kMaxBytes) {
    return std::nullopt;
  }
  try {
    std::istringstream in{std::string(bytes)};
    cereal::PortableBinaryInputArchive archive(in);
    Wire wire;
    archive(wire);
    return in.peek() == std::istringstream::traits_type::eof()
               ? std::optional<Wire>(std::move(wire))
               : std::nullopt;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string Encode(const RankReading& reading) {
  WireReading wire{ToWire(reading.report), reading.mark.value(), std::nullopt};
  if (reading.growth.has_value()) {
    wire.growth = WireGrowth{reading.growth->steps, reading.growth->requests,
                             PackAmounts(reading.growth->picks)};
  }
  return ToBytes(wire);
}

std::optional<RankReading> DecodeReading(std::string_view bytes) {
  const auto wire = FromBytes<WireReading>(bytes);
  if (!wire.has_value()) {
    return std::nullopt;
  }
  RankReading reading{FromWire(wire->report),
                      placement::ReadingMark(wire->mark), std::nullopt};
  if (wire->growth.has_value()) {
    placement::CounterGrowth growth;
    growth.steps = wire->growth->steps;
    growth.requests = wire->growth->requests;
    for (const std::uint16_t amount : wire->growth->picks.values) {
      growth.picks.push_back(
          static_cast<std::uint32_t>(amount * wire->growth->picks.unit));
    }
    reading.growth = std::move(growth);
  }
  return reading;
}

std::string Encode(const RoundRequest& question) {
  WireRoundRequest wire{question.group.value(), question.mark.value(),
                        question.read_work, question.counters,
                        ToWire(question.ranks)};
  return ToBytes(wire);
}

std::optional<RoundRequest> DecodeRoundRequest(std::string_view bytes) {
  auto wire = FromBytes<WireRoundRequest>(bytes);
  if (!wire.has_value()) {
    return std::nullopt;
  }
  RoundRequest question;
  question.group = GroupId(std::move(wire->group));
  question.mark = placement::ReadingMark(wire->mark);
  question.read_work = wire->read_work;
  question.counters = wire->counters;
  question.ranks = FromWire(std::move(wire->ranks));
  return question;
}

std::string Encode(const RoundResponse& answer) {
  WireRoundResponse wire;
  wire.domain = answer.domain.value();
  wire.mark = answer.mark.value();
  for (const RankPollResult& result : answer.results) {
    wire.results.push_back({result.rank.value(),
                            result.poll_delay / Microseconds(1),
                            ToWire(result.report)});
  }
  std::vector<double> units;
  units.reserve(answer.work.size());
  for (const double work : answer.work) {
    units.push_back(std::round(work * kWorkUnits));
  }
  wire.work = PackAmounts(units);
  return ToBytes(wire);
}

std::optional<RoundResponse> DecodeRoundResponse(std::string_view bytes) {
  auto wire = FromBytes<WireRoundResponse>(bytes);
  if (!wire.has_value()) {
    return std::nullopt;
  }
  RoundResponse answer;
  answer.domain = FailureDomain(std::move(wire->domain));
  answer.mark = placement::ReadingMark(wire->mark);
  for (const WireRankPollResult& result : wire->results) {
    answer.results.push_back({RankIndex(result.rank),
                              Microseconds(result.poll_delay_us),
                              FromWire(result.report)});
  }
  const double unit = static_cast<double>(wire->work.unit) / kWorkUnits;
  answer.work.reserve(wire->work.values.size());
  for (const std::uint16_t amount : wire->work.values) {
    answer.work.push_back(amount * unit);
  }
  return answer;
}

std::string Encode(const MulticastOrder& order) {
  const WireMulticastOrder wire{
      ToWire(order.ranks), order.timeout / Microseconds(1),
      order.method,        order.target,
      order.content_type,  order.body.value,
      order.is_guarded,    order.repeat_after / Microseconds(1)};
  return ToBytes(wire);
}

std::optional<MulticastOrder> DecodeMulticastOrder(std::string_view bytes) {
  auto wire = FromBytes<WireMulticastOrder>(bytes);
  if (!wire.has_value()) {
    return std::nullopt;
  }
  MulticastOrder order;
  order.ranks = FromWire(std::move(wire->ranks));
  order.timeout = Microseconds(wire->timeout_us);
  order.method = std::move(wire->method);
  order.target = std::move(wire->target);
  order.content_type = std::move(wire->content_type);
  order.body.value = std::move(wire->body);
  order.is_guarded = wire->is_guarded;
  order.repeat_after = Microseconds(wire->repeat_after_us);
  return order;
}

std::string Encode(const MulticastResult& answer) {
  return ToBytes(WireMulticastResult{answer.statuses});
}

std::optional<MulticastResult> DecodeMulticastResult(std::string_view bytes) {
  auto wire = FromBytes<WireMulticastResult>(bytes);
  if (!wire.has_value()) {
    return std::nullopt;
  }
  return MulticastResult{std::move(wire->statuses)};
}

}  // namespace bilberryspool::groups
