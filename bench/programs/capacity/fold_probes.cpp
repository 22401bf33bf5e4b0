/// @file
/// Slopes of records in the log and of the state folded from them.

#include "capacity/probes.h"
#include "core/fold/log_fold_base.h"
#include "wire/codec_func.h"

#include <memory>
#include <string>

namespace camphornotch::bench {

namespace {

/// Numbers of records.
constexpr int RecordCounts[] = {2000, 4000, 8000, 16000};

/// Makes a record with a number.
using RecordMaker = wire::LogRecord (*)(int64_t Number);

/// @param Number of the record.
/// @return a claim of a shard of its own.
wire::LogRecord claimRecord(int64_t Number) {
  wire::ClaimRecord Claim;
  Claim.Shard = "keys:" + std::to_string(Number);
  Claim.Owner = "entry-" + std::to_string(Number % 350);
  Claim.OwnerBoot = 0x1234567812345678;
  Claim.PreviousEpoch = -1;
  wire::LogRecord Record;
  Record.__set_Claim(Claim);
  return Record;
}

/// @param Number of the record.
/// @return an intent of a key of its own.
wire::LogRecord intentRecord(int64_t Number) {
  wire::IntentRecord Intent;
  Intent.Key = "booking-key-" + std::to_string(Number);
  Intent.Digest = Number * 7919;
  Intent.Endpoint = "service-3";
  Intent.AgentHost = "agent-s3";
  Intent.AgentBoot = 0x1234567812345678;
  Intent.Caller = "desk-7";
  wire::LogRecord Record;
  Record.__set_Intent(Intent);
  return Record;
}

/// @param Number of the record.
/// @return a boot of an agent of its own.
wire::LogRecord bootRecord(int64_t Number) {
  wire::BootRecord Boot;
  Boot.Host = "agent-" + std::to_string(Number);
  Boot.Boot = 0x1234567800000000 + Number;
  Boot.Endpoint = "engine-" + std::to_string(Number);
  wire::LogRecord Record;
  Record.__set_Boot(Boot);
  return Record;
}

/// @param Make makes the records.
/// @param Count how many.
/// @return them, from one writer.
std::vector<wire::LogRecord> makeRecords(RecordMaker Make, int Count) {
  std::vector<wire::LogRecord> Records;
  Records.reserve(static_cast<size_t>(Count));
  for (int Number = 0; Number < Count; ++Number) {
    Records.push_back(Make(Number));
    Records.back().WriterBoot = 0x1234567812345678;
    Records.back().Sequence = Number + 1;
  }
  return Records;
}

/// Folds records from offset 1.
/// @param Records the records.
/// @return the fold.
std::unique_ptr<LogFold> foldAll(const std::vector<wire::LogRecord> &Records) {
  auto Fold = std::make_unique<LogFold>();
  int64_t Offset = 0;
  for (const wire::LogRecord &Record : Records)
    Fold->apply(LogOffset{++Offset}, Record);
  return Fold;
}

/// Measures one kind of record.
/// @param Name of the kind.
/// @param Make makes the records.
/// @param Out takes the slopes.
void measure(const std::string &Name, RecordMaker Make,
             std::vector<Slope> &Out) {
  std::vector<Point> Bytes;
  std::vector<Point> Times;
  std::vector<Point> Memory;
  for (const int Count : RecordCounts) {
    const auto Records = makeRecords(Make, Count);
    const auto Size = static_cast<double>(Count);
    double Encoded = 0;
    for (const wire::LogRecord &Record : Records)
      Encoded += static_cast<double>(encodeRecord(Record).size());
    Bytes.push_back({Size, Encoded});
    Times.push_back({Size, leastMicros([&] { foldAll(Records); })});
    const double Before = heapBytes();
    const auto Fold = foldAll(Records);
    Memory.push_back({Size, heapBytes() - Before});
  }
  Out.push_back(fitSlope(Name + "_record_bytes", "bytes/record", Bytes));
  Out.push_back(fitSlope(Name + "_fold_time", "us/record", Times));
  Out.push_back(fitSlope(Name + "_fold_memory", "bytes/record", Memory));
}

/// @return processor time of encoding and decoding one record.
Slope codecSlope() {
  std::vector<Point> Points;
  for (const int Count : RecordCounts) {
    const auto Records = makeRecords(intentRecord, Count);
    const double Micros = leastMicros([&] {
      for (const wire::LogRecord &Record : Records)
        if (decodeRecord(encodeRecord(Record)).has_error())
          return;
    });
    Points.push_back({static_cast<double>(Count), Micros});
  }
  return fitSlope("record_codec_time", "us/record", Points);
}

} // namespace

std::vector<Slope> foldSlopes() {
  std::vector<Slope> Out;
  measure("claim", claimRecord, Out);
  measure("intent", intentRecord, Out);
  measure("boot", bootRecord, Out);
  Out.push_back(codecSlope());
  return Out;
}

} // namespace camphornotch::bench
