#include "start_controller.h"

#include <algorithm>

namespace chivelanding {

using State = TaskRecord::State;

// Sends an entry the name of the entry that holds the grant for a closed owner.
// The holder itself also gets the records of the owner's jobs.
void StartController::sendHoldings(const EntryId &Owner, const EntryId &To,
                                   StartControllerOutputs &Out) const {
  for (IncarnationClosed &Part : Records_.holdings(Owner, To))
    send(To, std::move(Part), Out);
}

void StartController::connect(const EntryId &Entry, Time Now) {
  Entries_[Entry].LastReport_.reset();
  Credit_.addEntry(Entry);
  Records_.findOrAddOwner(Entry, Now).InactiveSince_.reset();
}

// On a reconnection, a grant holder gets the records of the closed owner again,
// because they include ends that it missed, and an owner gets the ends of its
// own tasks.
StartControllerOutputs StartController::onEntryConnected(const EntryId &Entry,
                                                         Time Now) {
  StartControllerOutputs Out;
  if (Records_.isClosed(Entry)) {
    Out.push_back(
        SendToEntry{Entry, YouAreClosed{Records_.actingOwner(Entry)}});
    return Out;
  }
  connect(Entry, Now);
  sendEndpoint(Entry, Out);
  for (const auto &[Id, Job] : Records_.findOrAddOwner(Entry, Now).Jobs_)
    for (const auto &[Index, Task] : Job.Tasks_)
      if (Task.State_ == State::Finished && !Task.Evicted_ && !Job.Ended_)
        send(Entry, TaskFinished{Id, Index, Task.Outcome_, Task.Result_, {}},
             Out);
  for (const auto &[Id, Owner] : Records_.owners())
    if (Owner.Closed_ && Owner.Holder_ == Entry)
      sendHoldings(Id, Entry, Out);
  finishInput(Now, Out);
  return Out;
}

// An unreachable entry cannot use the capacity that its demand reserves.
// Without this, that capacity would stay idle until the entry counts as lost.
StartControllerOutputs StartController::onEntryUnreachable(const EntryId &Entry,
                                                           bool IsUnreachable,
                                                           Time Now) {
  StartControllerOutputs Out;
  if (Entries_.count(Entry) == 0)
    return Out;
  Credit_.setUnreachable(Entry, IsUnreachable);
  finishInput(Now, Out);
  return Out;
}

// Keeps the records of a lost entry, so that the entry that recovers its jobs
// can collect them.
StartControllerOutputs StartController::onEntryLost(const EntryId &Entry,
                                                    Time Now) {
  StartControllerOutputs Out;
  if (Entries_.erase(Entry) == 0)
    return Out;
  Credit_.removeEntry(Entry);
  Records_.findOrAddOwner(Entry, Now).InactiveSince_ = Now;
  finishInput(Now, Out);
  return Out;
}

// The first entry that closes an incarnation gets the grant for its jobs, and
// keeps it until it is closed itself or transfers the grant.
void StartController::onClose(const EntryId &From, const EntryId &Entry,
                              Time Now, StartControllerOutputs &Out) {
  if (Entry == From)
    return;
  if (Entries_.count(From) == 0)
    connect(From, Now);
  if (!Records_.isClosed(Entry))
    fence(From, Entry, Now, Out);
  sendHoldings(Entry, From, Out);
}

// Removes the tasks that the entry has queued here, for its own jobs and for
// jobs that it resumed. Grants that it held pass to the entry that closes it,
// which also gets the records of those jobs.
void StartController::fence(const EntryId &From, const EntryId &Entry, Time Now,
                            StartControllerOutputs &Out) {
  send(Entry, YouAreClosed{From}, Out);
  Entries_.erase(Entry);
  Credit_.removeEntry(Entry);
  returnQueued([&](const QueuedTask &Q) { return Q.Sender_ == Entry; },
               RejectReason::Closed, Now);
  OwnerRecord &Record = Records_.findOrAddOwner(Entry, Now);
  Record.Closed_ = true;
  Record.Holder_ = From;
  Record.InactiveSince_ = Now;
  Out.push_back(LogEvent{{&events::IncarnationClosedByAgent,
                          {{"entry", Entry.str()}, {"by", From.str()}}}});
  for (auto &[Id, Other] : Records_.owners()) {
    if (!Other.Closed_ || Other.Holder_ != Entry)
      continue;
    Other.Holder_ = From;
    sendHoldings(Id, From, Out);
  }
}

// Rejects the closed owner's tasks that are queued here, which proves to the
// former holder that they did not start. Running tasks are part of the records
// that the new holder gets.
void StartController::onTransfer(const EntryId &From,
                                 const TransferGrant &Transfer, Time Now,
                                 StartControllerOutputs &Out) {
  const auto It = Records_.owners().find(Transfer.Entry_);
  if (It == Records_.owners().end() || !It->second.Closed_ ||
      It->second.Holder_ != From || From == Transfer.NewHolder_ ||
      Records_.isClosed(Transfer.NewHolder_))
    return;
  returnQueued(
      [&](const QueuedTask &Q) {
        return Q.Job_.Token_.Owner_ == Transfer.Entry_;
      },
      RejectReason::NotOwner, Now);
  It->second.Holder_ = Transfer.NewHolder_;
  sendHoldings(Transfer.Entry_, Transfer.NewHolder_, Out);
}

} // namespace chivelanding
