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
 * What all exchanges share. Immutable; the parts belong to the traffic thread.
 *
 * @param members the entries that share the common bounds
 */
record ExchangeParts(
    Knowledge knowledge,
    RequestGate gate,
    ServerChooser chooser,
    VersionGate versions,
    RolloutDirector rollouts,
    LoadBook loads,
    ColdGate cold,
    Function<String, RepeatAllowance> repeats,
    ModelPolicy models,
    RelayFormat format,
    BackendPool pool,
    PathChecker paths,
    EventLoop loop,
    Ticker ticker,
    EventLog log,
    GatewayMetrics metrics,
    Supplier<Members> members) {}
