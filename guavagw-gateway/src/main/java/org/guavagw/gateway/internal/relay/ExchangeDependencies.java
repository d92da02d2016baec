package org.guavagw.gateway.internal.relay;

import com.google.common.base.Ticker;
import io.netty.channel.EventLoop;
import java.util.function.Function;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.cascade.ModelPolicy;
import org.guavagw.gateway.internal.control.Knowledge;
import org.guavagw.gateway.internal.limits.ColdGate;
import org.guavagw.gateway.internal.limits.RepeatAllowance;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.placement.LoadBook;
import org.guavagw.gateway.internal.rollout.RolloutDirector;
import org.guavagw.gateway.internal.rollout.VersionGate;
import org.guavagw.gateway.spi.RelayFormat;

/**
 * Dependencies that all exchanges share. Immutable; the dependencies are used on the traffic
 * thread.
 *
 * @param members the entries that divide the common limits among them
 */
record ExchangeDependencies(
    Knowledge knowledge,
    AdmissionCheck admission,
    BackendSelector selector,
    VersionGate versions,
    RolloutDirector rollouts,
    LoadBook loads,
    ColdGate coldStartLimiter,
    Function<String, RepeatAllowance> retryBudgets,
    ModelPolicy models,
    RelayFormat format,
    BackendConnectionPool pool,
    ReachabilityChecker reachability,
    EventLoop eventLoop,
    Ticker ticker,
    EventLog log,
    GatewayMetrics metrics,
    Supplier<Members> members) {}
