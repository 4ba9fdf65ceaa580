#include "drop_log.h"

namespace chivelanding {

DropHandler makeDropHandler(std::string Listener, EventLog &Log,
                            Metrics &Counters) {
  return [Name = std::move(Listener), &Log,
          &Counters](const DroppedConnection &D) {
    Log.write(events::ConnectionDropped,
              {{"listener", Name}, {"code", D.Code_}, {"caller", D.Caller_}});
    Counters.count("chivelanding_connections_dropped_total",
                   "Connections that a listener has dropped, by the cause.",
                   {{"listener", Name}, {"code", D.Code_}});
  };
}

} // namespace chivelanding
