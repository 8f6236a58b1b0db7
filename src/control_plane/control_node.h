// SPDX-License-Identifier: Apache-2.0
//
// A member process of the control plane: it connects the replica to its disk and to the other members, serves
// the operator's API, reads the platform's instance list and serves the subscriptions of proxies. Runs on the
// thread of its io_context.
#ifndef KESTRELLINE_CONTROL_PLANE_CONTROL_NODE_H_
#define KESTRELLINE_CONTROL_PLANE_CONTROL_NODE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "backend_faults/backend_faults.h"
#include "control_plane/load_sharing.h"
#include "control_plane/operator_api.h"
#include "control_plane/replica.h"
#include "control_plane/stage_planner.h"
#include "control_plane/store.h"
#include "discovery/list_reader.h"
#include "distribution/publisher.h"
#include "http/api_server.h"
#include "invariants/violations.h"
#include "mesh/mesh.h"
#include "node/settings.h"

namespace kestrelline::control_plane {

class ControlNode : public ControlState {
 public:
  ControlNode(http::asio::io_context& io, const node::Settings& settings, std::unique_ptr<Store> store);
  ~ControlNode() override;

  std::error_code Start();
  // Takes over the seeds of changed settings. All other settings apply from the next start on.
  void UpdateSeeds(const node::Settings& settings);
  // Sets the callback for the operator's request to leave.
  void OnLeaveRequested(std::function<void()> requested) { on_leave_requested_ = std::move(requested); }
  // Leaves in an orderly way: a waiting member takes the seat first, and leadership is handed over. Calls
  // `done` when the process may exit.
  void Leave(std::function<void()> done);

  bool Leads() const override;
  std::string OtherLeader() const override;
  wire::RecordPtr Committed() const override { return replica_.committed(); }
  std::string Status() const override;
  std::string Members() const override;
  std::string Metrics() const override { return traffic_->MetricsText() + backend_faults_.MetricsText(); }
  void Propose(Change change, std::function<void(Outcome)> decided) override;
  void RequestLeave() override;

 private:
  void OnMessage(mesh::Connection& connection, wire::Message message);
  void OnInstances(const mesh::Connection& connection, const wire::InstanceList& list);
  void OnListAge(const mesh::Connection& connection, const std::string& leader, const wire::ListAge& age);
  void OnListChanges(const wire::ListChanges& changes);
  void UpdateListReadTime(const mesh::Connection& connection, std::uint32_t age_ms);
  void SetList(wire::InstanceListPtr list);
  void OnLoads(const std::string& from, wire::LoadReport report);
  void ShareLoads();
  void ApplyEffects();
  void LogRoleChange();
  void ScheduleTick();
  void SendToMembers(const wire::Body& body);
  void OnReferral(const std::string& from, const wire::Referral& referral);
  void NoteGateway(const std::string& gateway);
  void SendMembersToGateways();
  void SendListToMembers();
  void SendListFrame(const mesh::Frame& frame);
  void SendList(const std::string& member, const mesh::Frame& frame);
  wire::InstanceList ListWithAge() const;
  std::uint32_t ListAgeMs() const;  // since the platform was asked
  std::vector<std::string> OtherMembers() const;
  void TryStop();
  // Answers the requests that were read, then calls on_left_.
  http::Awaitable<void> Stop();
  void PublishIfChanged();
  void PublishChange();
  void Publish();
  void UpdateConfigurationHistory();
  distribution::PublishedState CurrentlyPublished();
  http::Awaitable<void> ReadListWhileLeading();
  void PlanStageMoves();
  http::Awaitable<void> ExecuteStageOrder(StageOrder order);
  void ReportStageFault(const std::string& instance, const char* reason);
  void OnListRead(std::vector<wire::Instance> instances);
  void PublishList();

  http::asio::io_context& io_;
  const node::Settings settings_;
  std::vector<std::string> seeds_;  // of the newest settings
  const std::shared_ptr<mesh::Traffic> traffic_ = std::make_shared<mesh::Traffic>();
  mesh::Mesh mesh_;
  Replica replica_;
  distribution::Publisher publisher_;
  discovery::ListReader reader_;
  OperatorApi api_;
  http::ApiServer server_;
  invariants::Violations violations_;
  http::asio::steady_timer tick_;
  std::unique_ptr<StoreThread> store_;
  std::map<std::uint64_t, std::function<void(Outcome)>> pending_proposals_;

  LoadSharing loads_;
  bool loads_reset_sent_ = false;  // the empty report at the start of this process was sent
  StagePlanner planner_;
  backend_faults::BackendFaults backend_faults_;
  std::optional<Time> leading_since_;
  Time next_plan_at_{0};
  std::vector<wire::Instance> platform_instances_;  // as last read, without marks for moves
  wire::InstanceListPtr instances_;
  Time instances_read_at_{0};
  distribution::ListHistory lists_;
  distribution::ConfigurationHistory configurations_;
  wire::RecordPtr history_head_;        // the record that `configurations_` ends at
  std::uint64_t members_revision_ = 0;  // of the list last sent to the other members
  wire::RecordPtr published_record_;
  wire::InstanceListPtr published_instances_;
  Time next_publication_at_{0};
  Time last_change_published_at_{0};
  bool change_pending_ = false;  // until kMinChangeInterval after the last published change
  Role logged_role_ = Role::kLearner;
  // Known gateways (control processes without a disk), and when they last announced themselves. They are kept
  // until newer ones need their place, so that a gateway that restarts without knowing any member is still
  // sent the members.
  std::map<std::string, Time> gateways_;
  Time next_gateway_update_{0};
  std::function<void()> on_leave_requested_;
  std::function<void()> on_left_;  // set while this member is leaving
  http::steady_clock::time_point stop_deadline_;
  bool stopping_ = false;
};

}  // namespace kestrelline::control_plane

#endif  // KESTRELLINE_CONTROL_PLANE_CONTROL_NODE_H_
