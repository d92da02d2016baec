package org.guavagw.internal.entry;

import java.util.function.UnaryOperator;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.engine.EngineClient;
import org.guavagw.internal.once.IdempotencyRegistry;
import org.guavagw.internal.permit.PermitService;
import org.guavagw.internal.session.SessionPins;

/**
 * Wrappers for mechanisms of an entry. A check uses them to disable a mechanism and to show that it
 * detects this. Ordinary entries use {@link #NONE}. Immutable.
 *
 * @param configs wraps the configuration that request handling uses
 */
public record EntryHooks(
    UnaryOperator<ConfigSource> configs,
    UnaryOperator<PermitService> permits,
    UnaryOperator<SessionPins> pins,
    UnaryOperator<IdempotencyRegistry> once,
    UnaryOperator<EngineClient> engines) {
  /** Changes no mechanism. */
  public static final EntryHooks NONE =
      new EntryHooks(
          UnaryOperator.identity(),
          UnaryOperator.identity(),
          UnaryOperator.identity(),
          UnaryOperator.identity(),
          UnaryOperator.identity());

  /** Returns hooks that wrap the configuration that request handling uses. */
  public EntryHooks withConfigs(UnaryOperator<ConfigSource> hook) {
    return new EntryHooks(hook, permits, pins, once, engines);
  }

  /** Returns hooks that wrap permits. */
  public EntryHooks withPermits(UnaryOperator<PermitService> hook) {
    return new EntryHooks(configs, hook, pins, once, engines);
  }

  /** Returns hooks that wrap session pins. */
  public EntryHooks withPins(UnaryOperator<SessionPins> hook) {
    return new EntryHooks(configs, permits, hook, once, engines);
  }

  /** Returns hooks that wrap the claims of non-idempotent calls. */
  public EntryHooks withIdempotency(UnaryOperator<IdempotencyRegistry> hook) {
    return new EntryHooks(configs, permits, pins, hook, engines);
  }

  /** Returns hooks that wrap the client of model engines. */
  public EntryHooks withEngines(UnaryOperator<EngineClient> hook) {
    return new EntryHooks(configs, permits, pins, once, hook);
  }
}
