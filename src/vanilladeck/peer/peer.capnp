@0xb3f1c2a94d7e5a61;
# Calls between the daemons of one deployment.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("vanilladeck::peer::wire");

struct InstanceId {
  address @0 :Text;
  incarnation @1 :UInt64;
}

struct Member {
  id @0 :InstanceId;
  startedMs @1 :Int64;
  failureDomain @2 :Text;
  callerAddress @3 :Text;
  sequence @4 :UInt64;
  leaving @5 :Bool;
  configVersion @6 :UInt64;
  configHash @7 :Text;
  seats @8 :List(UInt32);
  shards @9 :List(Text);
  gone @10 :Bool;
}

struct Heartbeat {
  deployment @0 :Text;
  self @1 :Member;
  relayed @2 :List(Member);
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ForwardRequest {
  service @0 :Text;
  method @1 :Text;
  target @2 :Text;
  headers @3 :List(Header);
  body @4 :Data;
  rank @5 :UInt8;
  timeoutMs @6 :UInt32;
  traceparent @7 :Text;
  fromRegion @8 :Text;
  sender @9 :InstanceId;
}

struct ForwardReply {
  outcome @0 :UInt8;
  status @1 :Int32;
  headers @2 :List(Header);
  body @3 :Data;
  error @4 :Text;
  retryAfterMs @5 :UInt32;
}

struct RecordedAnswer {
  status @0 :Int32;
  contentType @1 :Text;
  body @2 :Data;
}

struct ClaimRequest {
  key @0 :Text;
  client @1 :Text;
  service @2 :Text;
  fingerprint @3 :Text;
  rank @4 :UInt8;
  holder @5 :InstanceId;
  claimId @6 :UInt64;
}

struct ClaimReply {
  union {
    granted @0 :UInt64;
    recorded @1 :RecordedAnswer;
    inProgress @2 :Void;
    outcomeUnknown @3 :Void;
    mismatch @4 :Void;
    expired @5 :Void;
    unavailable @6 :UInt32;
  }
}

struct CompleteRequest {
  key @0 :Text;
  attempt @1 :UInt64;
  holder @2 :InstanceId;
  outcome @3 :UInt8;
  answer @4 :RecordedAnswer;
  claimId @5 :UInt64;
}

struct CreditRequest {
  sender @0 :InstanceId;
  fromRegion @1 :Text;
  service @2 :Text;
  wanted @3 :UInt32;
}

struct CreditGrant {
  count @0 :UInt32;
  lifeMs @1 :UInt32;
  granter @2 :InstanceId;
}

struct Server {
  service @0 :Text;
  address @1 :Text;
  failureDomain @2 :Text;
  leaving @3 :Bool;
}

struct SeatClaim {
  failureDomain @0 :Text;
  seat @1 :UInt32;
  holder @2 :InstanceId;
  term @3 :UInt64;
}

interface Peer {
  heartbeat @0 (own :Heartbeat) -> (peer :Heartbeat);
  forward @1 (request :ForwardRequest) -> (reply :ForwardReply);
  claim @2 (request :ClaimRequest) -> (reply :ClaimReply);
  complete @3 (request :CompleteRequest) -> (recorded :Bool);
  credits @4 (request :CreditRequest) -> (grant :CreditGrant);
  # Configuration records after a version, oldest first.
  fetchVersions @5 (deployment :Text, after :UInt64) -> (records :List(Text));
  # The platform's list of backend servers as the answering peer read it last.
  fetchServers @6 () -> (servers :List(Server));
  # Whether the answering peer knows no newer holder of the seat than the one given.
  confirmSeat @7 (claim :SeatClaim) -> (confirmed :Bool);
  # Tells of a claim; answered once the peer has noted it.
  announceSeat @8 (claim :SeatClaim) -> ();
}
