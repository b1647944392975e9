#include "app/node.h"

namespace zincdyke {

Node::Node(Env& env, const Settings& settings, const Policy& policy)
    : peers_(env, settings,
             [this](const NodeName& from, const wire::PeerMessage& message) { on_peer(from, message); }),
      state_cache_(settings, *this),
      store_(env, settings),
      cloud_(env, settings),
      cluster_(env, settings, store_, state_cache_, *this),
      format_level_(env, settings, store_, state_cache_, cluster_),
      cancellation_watermark_(env, settings, state_cache_),
      committer_(env, settings, store_, state_cache_, cluster_, peers_),
      workers_(env, settings, state_cache_, cluster_, cancellation_watermark_, committer_, peers_),
      jobs_api_(env, settings, store_, state_cache_, cluster_, peers_),
      relay_(env, settings, store_, state_cache_, cluster_, committer_, peers_),
      gatherer_(env, state_cache_, peers_),
      autoscaler_(env, settings, policy, store_, state_cache_, cluster_, cloud_, peers_),
      heartbeat_sender_(
          env, settings, peers_,
          {store_, state_cache_, cluster_, cancellation_watermark_, committer_, workers_, autoscaler_}),
      dispatcher_({peers_, state_cache_, cancellation_watermark_, committer_, workers_, relay_, gatherer_,
                   autoscaler_}),
      health_check_(cluster_, jobs_api_, store_, peers_),
      router_(jobs_api_, workers_, health_check_,
              {settings, store_, state_cache_, cluster_, format_level_, committer_, workers_, relay_,
               gatherer_}) {}

void Node::start() {
    cluster_.start();
    format_level_.start();
    committer_.start();
    workers_.start();
    gatherer_.start();
    relay_.start();
    autoscaler_.start();
    heartbeat_sender_.start();
}

}  // namespace zincdyke
