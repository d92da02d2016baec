package org.guavagw.internal.entry;

import java.util.function.UnaryOperator;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.engine.EngineClient;
import org.guavagw.internal.once.IdempotencyRegistry;
import org.guavagw.internal.permit.PermitService;
import org.guavagw.internal.session.SessionPins;

/**
 * Wraps mechanisms of an entry, so that a check can switch one off and show that it notices.
 * Ordinary entries use {@link #NONE}. Immutable.
 *
 * @param configs what traffic decides by
 */
public record EntryHooks(
    UnaryOperator<ConfigSource> configs,
    UnaryOperator<PermitService> permits,
    UnaryOperator<SessionPins> pins,
    UnaryOperator<IdempotencyRegistry> once,
    UnaryOperator<EngineClient> engines) {
  /** Leaves every mechanism as it is. */
  public static final EntryHooks NONE =
      new EntryHooks(
          UnaryOperator.identity(),
          UnaryOperator.identity(),
          UnaryOperator.identity(),
          UnaryOperator.identity(),
          UnaryOperator.identity());

  /** Replaces what traffic decides by. */
  public EntryHooks withConfigs(UnaryOperator<ConfigSource> hook) {
    return new EntryHooks(hook, permits, pins, once, engines);
  }

  /** Replaces permits. */
  public EntryHooks withPermits(UnaryOperator<PermitService> hook) {
    return new EntryHooks(configs, hook, pins, once, engines);
  }

  /** Replaces session pins. */
  public EntryHooks withPins(UnaryOperator<SessionPins> hook) {
    return new EntryHooks(configs, permits, hook, once, engines);
  }

  /** Replaces claims of non-idempotent calls. */
  public EntryHooks withOnce(UnaryOperator<IdempotencyRegistry> hook) {
    return new EntryHooks(configs, permits, pins, hook, engines);
  }

  /** Replaces the client of model engines. */
  public EntryHooks withEngines(UnaryOperator<EngineClient> hook) {
    return new EntryHooks(configs, permits, pins, once, hook);
  }
}
