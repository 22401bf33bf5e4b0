/// @file
/// Tests of the engine's events, of request bodies and of pauses.

#include "core/agent/pause_base.h"
#include "core/agent/stream_func.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace camphornotch;

Test(streamEvent, completion_event_gives_text_tokens_version) {
  const auto Event = parseStreamEvent(
      R"({"choices":[{"index":0,"text":"ab","finish_reason":null}],)"
      R"("tokens":2,"weight_version":7})");
  cr_assert(Event.has_value() && Event.value().Text == "ab");
  cr_assert(Event.value().Tokens == 2);
  cr_assert(Event.value().Version == WeightVersion{7});
  cr_assert(Event.value().FinishReason.empty() && !Event.value().Done);
}

Test(streamEvent, chat_event_gives_delta) {
  const auto Event = parseStreamEvent(
      R"({"choices":[{"delta":{"content":"x"},"finish_reason":"stop"}]})");
  cr_assert(Event.has_value() && Event.value().Text == "x");
  cr_assert(Event.value().FinishReason == "stop");
  cr_assert(Event.value().Version == WeightVersion{-1});
}

Test(streamEvent, nonsense_is_an_error) {
  for (const char *Data :
       {"", "{", "[]", R"({"choices":[]})", "null", R"({"choices":7})"})
    cr_assert(!parseStreamEvent(Data).has_value());
  cr_assert(parseStreamEvent("[DONE]").value().Done);
}

Test(eventSplitter, any_cut_of_the_stream_gives_the_same_events) {
  cr_assert(rc::check("cuts", [] {
    const std::string Stream =
        "data: one\n\ndata: two\n\ndata:\n\ndata: [DONE]\n\n";
    EventSplitter Splitter;
    std::vector<std::string> Events;
    size_t At = 0;
    while (At < Stream.size()) {
      const size_t Length = *rc::gen::inRange<size_t>(1, 9);
      Splitter.add(std::string_view(Stream).substr(At, Length));
      At += Length;
      while (const auto Data = Splitter.next())
        Events.push_back(*Data);
    }
    RC_ASSERT(Events == (std::vector<std::string>{"one", "two", "", "[DONE]"}));
    RC_ASSERT(Splitter.pending() == 0U);
  }));
}

Test(completionBody, kept_output_is_resumed_under_own_id) {
  wire::StartWork Work;
  Work.Body = R"({"model":"grind","prompt":"p","max_tokens":9,"stream":false})";
  Work.KeptText = "kept";
  Work.KeptTokens = 4;
  const auto Body = completionBody(Work, "r1/ab.3", 2);
  cr_assert(Body.has_value());
  const auto Parsed = nlohmann::json::parse(Body.value());
  cr_assert(Parsed["stream"] == true && Parsed["request_id"] == "r1/ab.3");
  cr_assert(Parsed["kept_text"] == "kept" && Parsed["kept_tokens"] == 4);
  cr_assert(Parsed["max_tokens"] == 9 && Parsed["priority"] == 2);
}

Test(completionBody, no_object_is_an_error) {
  wire::StartWork Work;
  Work.Body = "[1]";
  cr_assert(!completionBody(Work, "r", 0).has_value());
}

Test(pauseWatch, gap_over_bound_is_a_pause) {
  PauseWatch Watch{Millis{2000}};
  cr_assert(Watch.check(Millis{100}, Millis{9100}) == Millis{0});
  cr_assert(Watch.check(Millis{1600}, Millis{10600}) == Millis{0});
  cr_assert(Watch.check(Millis{3600}, Millis{12600}) == Millis{2000});
  cr_assert(Watch.check(Millis{3700}, Millis{99000}) > Millis{0},
            "the host slept while the steady clock stood still");
}
