/// @file
/// Estimates the work of items.

#include "gateway/item_task_base.h"

#include "base/log_func.h"
#include "base/text_func.h"

namespace camphornotch {

ExpectedWork ItemTask::expectWork(const ScheduledItem &Item) {
  const Run *Active = this->find(Item.Key);
  const size_t Made = Active == nullptr ? 0 : Active->Events.size();
  ExpectedWork Expected = this->Work.expect(
      {Item.RouteName, Item.LengthHint, static_cast<double>(Made)});
  Expected.PromptTokens = Item.PromptTokens + static_cast<int64_t>(Made);
  return Expected;
}

void ItemTask::logStart(const ItemStart &Start, const Run &Active) const {
  const EndpointState *Engine = this->Pool.find(Start.Endpoint);
  const std::string Had = concat(Active.Events.size());
  const std::string Outstanding =
      concat(Engine == nullptr ? 0 : Engine->Outstanding);
  std::vector<LogField> Fields{{"request_id", Start.Key.Item.Value},
                               {"submission", Start.Key.Submission.Value},
                               {"endpoint", Start.Endpoint.Value},
                               {"events_had", Had},
                               {"outstanding", Outstanding}};
  std::optional<ForecastFields> Added;
  if (this->Pool.usesForecasts())
    Added.emplace(Start.Work, Start.Forecast).addTo(Fields);
  logLine(LogLevel::Info, "item started", Fields);
}

void ItemTask::learnWork(const ItemKey &Key, const Run &Active) {
  const ScheduledItem *Item = this->Scheduler.find(Key);
  if (this->Pool.usesForecasts() && Item != nullptr)
    this->Work.finished(Item->RouteName, Item->LengthHint,
                        static_cast<double>(Active.Events.size()),
                        Active.ExpectedEvents);
}

} // namespace camphornotch
