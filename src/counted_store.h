#ifndef CHIVELANDING_COUNTED_STORE_H
#define CHIVELANDING_COUNTED_STORE_H

#include "dispatch_ports.h"
#include "metrics.h"

namespace chivelanding {

/// Counts the calls of a store by their use and result, and times them.
class CountedStore : public RecordStore {
public:
  /// Both must outlive this object and the calls made through it.
  CountedStore(RecordStore &Store, Metrics &Figures);

  void newest(StoreStream Stream, Duration Timeout,
              RecordsCallback Done) override;
  void follow(StoreStream Stream, std::uint64_t Offset, Duration Wait,
              Duration Timeout, RecordsCallback Done) override;
  void put(StoreStream Stream, const StoreRecord &Record, Duration Timeout,
           std::function<void(const Result<Done> &)> Callback) override;
  const std::string &configKey() const override;

private:
  RecordStore &Store_;
  Metrics &Figures_;
};

} // namespace chivelanding

#endif
