#ifndef CHIVELANDING_COUNTED_STORE_H
#define CHIVELANDING_COUNTED_STORE_H

#include "dispatch_ports.h"
#include "metrics.h"

namespace chivelanding {

/// Forwards calls to a store and counts them by operation and result.
class CountedStore : public RecordStore {
public:
  /// Both arguments must outlive this object and the calls made through it.
  CountedStore(RecordStore &Store, Metrics &Counters);

  void newest(StoreStream Stream, Duration Timeout,
              RecordsCallback Done) override;
  void follow(StoreStream Stream, std::uint64_t Offset, Duration Wait,
              Duration Timeout, RecordsCallback Done) override;
  void put(StoreStream Stream, const StoreRecord &Record, Duration Timeout,
           std::function<void(const Result<Done> &)> Callback) override;
  const std::string &configKey() const override;
  const std::string &cordonKeyPrefix() const override;

private:
  RecordStore &Store_;
  Metrics &Counters_;
};

} // namespace chivelanding

#endif
