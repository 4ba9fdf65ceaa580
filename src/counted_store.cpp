#include "counted_store.h"

namespace chivelanding {
namespace {

// Error codes are a small fixed set, so they are usable as a metric label.
template <typename T>
void countCall(Metrics &Counters, const char *Call, const Result<T> &R) {
  Counters.count("chivelanding_store_calls_total",
                 "Calls of the store by their use and result.",
                 {{"call", Call}, {"result", ok(R) ? "ok" : error(R).Code_}});
}

} // namespace

CountedStore::CountedStore(RecordStore &Store, Metrics &Counters)
    : Store_(Store), Counters_(Counters) {}

void CountedStore::newest(StoreStream Stream, Duration Timeout,
                          RecordsCallback Done) {
  Store_.newest(Stream, Timeout,
                [this, Done = std::move(Done)](const Result<StoreRecords> &R) {
                  countCall(Counters_, "newest", R);
                  Done(R);
                });
}

void CountedStore::follow(StoreStream Stream, std::uint64_t Offset,
                          Duration Wait, Duration Timeout,
                          RecordsCallback Done) {
  Store_.follow(Stream, Offset, Wait, Timeout,
                [this, Done = std::move(Done)](const Result<StoreRecords> &R) {
                  countCall(Counters_, "follow", R);
                  Done(R);
                });
}

void CountedStore::put(StoreStream Stream, const StoreRecord &Record,
                       Duration Timeout,
                       std::function<void(const Result<Done> &)> Callback) {
  Store_.put(Stream, Record, Timeout,
             [this, Callback = std::move(Callback)](
                 const Result<chivelanding::Done> &R) {
               countCall(Counters_, "put", R);
               Callback(R);
             });
}

const std::string &CountedStore::configKey() const {
  return Store_.configKey();
}

const std::string &CountedStore::cordonKeyPrefix() const {
  return Store_.cordonKeyPrefix();
}

} // namespace chivelanding
