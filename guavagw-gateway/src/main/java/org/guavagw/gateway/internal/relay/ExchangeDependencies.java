package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.admission.RequestScheduler;
import org.guavagw.gateway.internal.cascade.ModelSelector;
import org.guavagw.gateway.internal.control.CurrentControlView;
import org.guavagw.gateway.internal.limits.ColdStartLimiter;
import org.guavagw.gateway.internal.limits.RetryBudget;
import org.guavagw.gateway.internal.limits.ServerAvailability;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.placement.LoadTracker;
import org.guavagw.gateway.internal.rollout.RolloutManager;
import org.guavagw.gateway.internal.rollout.VersionSelector;
import org.guavagw.gateway.spi.RelayFormat;

/**
 * Dependencies that all exchanges share. Immutable; the dependencies are used on the traffic
 * thread.
 *
 * @param forwarding connections to other entries for forwarded requests
 * @param members the entries that divide the common limits among them
 */
record ExchangeDependencies(
    CurrentControlView currentView,
    AdmissionCheck admission,
    RequestScheduler scheduler,
    BackendSelector selector,
    VersionSelector versions,
    RolloutManager rollouts,
    LoadTracker loads,
    ColdStartLimiter coldStartLimiter,
    ServerAvailability availability,
    CrashGuard crashGuard,
    Function<String, RetryBudget> retryBudgets,
    ModelSelector models,
    RelayFormat format,
    BackendConnectionPool pool,
    BackendConnectivity connectivity,
    EntryForwarding forwarding,
    ReachabilityChecker reachability,
    PeriodicChecks checks,
    EventLoop eventLoop,
    Ticker ticker,
    EventLog log,
    GatewayMetrics metrics,
    Supplier<Members> members) {
  /** Runs a task on the traffic thread at a monotonic time. */
  ScheduledFuture<?> runAt(long nanos, Runnable task) {
    return eventLoop.schedule(task, nanos - ticker.read(), TimeUnit.NANOSECONDS);
  }
}
