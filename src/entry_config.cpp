#include "entry_config.h"

namespace chivelanding {

EntryConfig::EntryConfig(const ConfigCodec &Codec, EventLog &Log,
                         SendMessage Send)
    : Codec_(Codec), Log_(Log), Send_(std::move(Send)) {}

// Versions may arrive in any order. Only a newer version is accepted, so that
// this process never goes back to an older configuration.
void EntryConfig::onText(const std::string &Text, const char *Source,
                         Time Now) {
  auto Decoded = Codec_.decode(Text);
  if (!ok(Decoded)) {
    Log_.write(events::ConfigRecordSkipped,
               {{"source", Source}, {"error", error(Decoded).str()}});
    return;
  }
  if (Config_ && value(Decoded).version() <= Config_->version())
    return;
  const ConfigVersion Previous = version();
  Config_ = std::move(value(Decoded));
  Text_ = Text;
  AdoptedAt_ = Now;
  Log_.write(events::ConfigAccepted,
             {{"version", std::to_string(Config_->version().value())},
              {"former", std::to_string(Previous.value())},
              {"source", Source},
              {"routes", std::to_string(Config_->routes().size())}});
  for (const PeerId &Entry : Entries_)
    sendVersion(Entry);
}

void EntryConfig::onEntryUp(const PeerId &Entry) {
  Entries_.insert(Entry);
  sendVersion(Entry);
}

void EntryConfig::onEntryLost(const PeerId &Entry) {
  Entries_.erase(Entry);
  Versions_.onLost(Entry);
}

bool EntryConfig::onMessage(const PeerId &From, const Message &M, Time Now) {
  if (const auto *Config = std::get_if<ConfigText>(&M)) {
    if (!Config_ || Config_->version() < Config->Version_)
      onText(Config->Text_, From.Name_.c_str(), Now);
  } else if (const auto *Digest = std::get_if<ConfigDigest>(&M)) {
    Versions_.onDigest(From, Digest->Version_, Now);
  } else if (const auto *Request = std::get_if<ConfigRequest>(&M)) {
    if (Config_ && Request->Have_ < Config_->version())
      Send_(From, ConfigText{Config_->version(), Text_});
  } else {
    return false;
  }
  return true;
}

void EntryConfig::requestNewer(Time Now) {
  if (const auto From = Versions_.nextPeerToAsk(version(), Now))
    Send_(*From, ConfigRequest{version()});
}

// Leaves out the text, which nearly all entries have read from the store.
void EntryConfig::sendVersion(const PeerId &To) {
  if (Config_)
    Send_(To, ConfigDigest{Config_->version(), 0});
}

} // namespace chivelanding
