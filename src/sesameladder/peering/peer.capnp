# Messages between entry instances. Increase FORMAT_VERSION in _codec.py with each
# change that is not backward compatible.
@0xc4b1a2f37e5d9610;

struct Envelope {
  deployment @0 :Text;
  formatVersion @1 :UInt16;
  sender @2 :Text;
  incarnation @3 :UInt64;
  correlation @4 :UInt64;
  # Number of the request, which its reply repeats; 0 for a one-way message.
  isReply @5 :Bool;

  union {
    failure @6 :Failure;
    heartbeat @7 :Heartbeat;
    pullConfiguration @8 :PullConfiguration;
    tickets @9 :Tickets;
    snapshot @10 :Snapshot;
    pullPlan @11 :PullPlan;
    planUpdate @12 :PlanUpdate;
    vmListUpdate @13 :VmListUpdate;
    acknowledgement @14 :Acknowledgement;
    grantPoll @15 :GrantPoll;
    grantAnswer @16 :GrantAnswer;
    grantRelease @17 :GrantRelease;
    demandCancel @18 :DemandCancel;
    preemptOrder @19 :PreemptOrder;
    throttleOrder @20 :ThrottleOrder;
    grantQuery @21 :GrantQuery;
    grantList @22 :GrantList;
    cellQuery @23 :CellQuery;
    cellReports @24 :CellReports;
    handOverRequest @25 :HandOverRequest;
    handOverAnswer @26 :HandOverAnswer;
    forwardedRequest @27 :ForwardedRequest;
    forwardedAnswer @28 :ForwardedAnswer;
    witnessStart @29 :WitnessStart;
    witnessVoid @30 :WitnessVoid;
    witnessAnswer @31 :WitnessAnswer;
    witnessRecord @32 :WitnessRecord;
    tokenHandOver @33 :TokenHandOver;
    checkpointRequest @34 :CheckpointRequest;
    homeMovedNotice @35 :HomeMovedNotice;
  }
}

struct Failure { reason @0 :Text; }
struct Acknowledgement { accepted @0 :Bool; }

struct Heartbeat {
  zone @0 :Text;
  configurationNumber @1 :UInt64;
  planVersion @2 :UInt64;
  draining @3 :Bool;
  relay @4 :Bool;
  vmListSequence @5 :UInt64;
}

struct PullConfiguration { after @0 :UInt64; }
struct TicketItem { number @0 :UInt64; digest @1 :Text; data @2 :Data; }
struct Tickets { items @0 :List(TicketItem); }
struct Snapshot { number @0 :UInt64; digest @1 :Text; data @2 :Data; }

struct PullPlan { region @0 :Text; after @1 :UInt64; }
struct PlanUpdate { region @0 :Text; version @1 :UInt64; data @2 :Data; }

struct VmItem { name @0 :Text; zone @1 :Text; state @2 :Text; changedAt @3 :Float64; }
struct VmListUpdate { sequence @0 :UInt64; items @1 :List(VmItem); }

struct GrantPoll {
  pool @0 :Text;
  zone @1 :Text;
  demandId @2 :Text;
  team @3 :Text;
  kind @4 :Text;
  urgent @5 :Bool;
  repeatable @6 :Bool;
  attempt @7 :UInt32;
  expectedMs @8 :Float64;
  checkpointable @9 :Bool;
  deadlineMs @10 :Float64;
  triedWorkers @11 :List(Text);
  triedRacks @12 :List(Text);
  resumed @13 :Bool;
  # Epoch of the plan's dispatcher row that the forwarder uses.
  epoch @14 :UInt64;
}

struct GrantAnswer {
  status @0 :Text;
  demandId @1 :Text;
  grantId @2 :Text;
  vm @3 :Text;
  rack @4 :Text;
  address @5 :Text;
  reason @6 :Text;
  retryAfterS @7 :Float64;
}

struct GrantRelease {
  pool @0 :Text;
  zone @1 :Text;
  grantId @2 :Text;
  outcome @3 :Text;
  ranMs @4 :Float64;
}

struct DemandCancel { pool @0 :Text; zone @1 :Text; demandId @2 :Text; }
struct PreemptOrder { grantId @0 :Text; vm @1 :Text; }
struct ThrottleOrder { grantId @0 :Text; vm @1 :Text; share @2 :Float64; }

struct GrantQuery { pool @0 :Text; zone @1 :Text; }
struct GrantItem {
  grantId @0 :Text;
  vm @1 :Text;
  kind @2 :Text;
  team @3 :Text;
  demandId @4 :Text;
  urgent @5 :Bool;
  checkpointable @6 :Bool;
  ranMs @7 :Float64;
}
struct GrantList {
  complete @0 :Bool;
  incarnation @1 :UInt64;
  items @2 :List(GrantItem);
  demandIds @3 :List(Text);
}

struct CellQuery { zones @0 :List(Text); }
struct VmGrants {
  vm @0 :Text;
  outstanding @1 :UInt32;
  suspected @2 :Bool;
  checkpointable @3 :Bool;
}
struct CheckpointRequest { pool @0 :Text; zone @1 :Text; vm @2 :Text; }
struct CellReport {
  pool @0 :Text;
  zone @1 :Text;
  planVersion @2 :UInt64;
  epoch @3 :UInt64;
  meanDemandSlots @4 :Float64;
  granting @5 :Bool;
  vms @6 :List(VmGrants);
}
struct CellReports { draining @0 :Bool; items @1 :List(CellReport); }

struct HandOverRequest { pool @0 :Text; zone @1 :Text; epoch @2 :UInt64; planVersion @3 :UInt64; }
struct HandOverAnswer { accepted @0 :Bool; }

struct Header { name @0 :Text; value @1 :Text; }
struct ForwardedRequest {
  requestId @0 :Text;
  token @1 :Text;
  method @2 :Text;
  path @3 :Text;
  headers @4 :List(Header);
  body @5 :Data;
  deadlineMs @6 :Float64;
}
struct ForwardedAnswer {
  outcome @0 :Text;
  status @1 :UInt32;
  headers @2 :List(Header);
  body @3 :Data;
  reason @4 :Text;
  retryAfterS @5 :Float64;
  requestId @6 :Text;
}

struct WitnessStart { token @0 :Text; }
struct WitnessVoid { token @0 :Text; }
struct WitnessAnswer {
  verdict @0 :Text;
  answer @1 :ForwardedAnswer;
}
struct WitnessRecord { token @0 :Text; answer @1 :ForwardedAnswer; }
struct TokenHandOver { home @0 :Text; homeIncarnation @1 :UInt64; data @2 :Data; }

struct HomeMovedNotice {
  home @0 :Text;
  homeIncarnation @1 :UInt64;
  successor @2 :Text;
  successorIncarnation @3 :UInt64;
}
