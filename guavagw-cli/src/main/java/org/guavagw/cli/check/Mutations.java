package org.guavagw.cli.check;

import com.google.common.collect.ImmutableSortedMap;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.entry.EntryHooks;
import org.guavagw.internal.once.ClaimResult;
import org.guavagw.internal.once.IdempotencyClaim;
import org.guavagw.internal.once.IdempotencyFailure;
import org.guavagw.internal.once.IdempotencyKey;
import org.guavagw.internal.once.IdempotencyRegistry;
import org.guavagw.internal.once.StoredOutcome;
import org.guavagw.internal.permit.Permit;
import org.guavagw.internal.permit.PermitRefusal;
import org.guavagw.internal.permit.PermitService;
import org.guavagw.internal.session.PinLookupResult;
import org.guavagw.internal.session.SessionPins;

/** Mechanisms that can be disabled to verify that the check detects their absence. Stateless. */
final class Mutations {
  private static final Map<String, EntryHooks> ALL =
      ImmutableSortedMap.of(
          "", EntryHooks.NONE,
          "no-claims", EntryHooks.NONE.withIdempotency(r -> new NoClaims()),
          "no-permits", EntryHooks.NONE.withPermits(p -> new NoPermits()),
          "no-pins", EntryHooks.NONE.withPins(p -> new NoPins()),
          "stale-config", EntryHooks.NONE.withConfigs(FirstConfig::new));

  private Mutations() {}

  static Optional<EntryHooks> find(String name) {
    return Optional.ofNullable(ALL.get(name));
  }

  static Set<String> names() {
    return ALL.keySet();
  }

  /** Grants every claim, so that repeated requests run again. */
  private static final class NoClaims implements IdempotencyRegistry {
    @Override
    public Either<IdempotencyFailure, ClaimResult> claim(
        IdempotencyKey key, String requestFingerprint, String requestId) {
      return Either.right(new ClaimResult.Claimed(new IdempotencyClaim(key, requestId)));
    }

    @Override
    public Either<IdempotencyFailure, Void> complete(
        IdempotencyClaim claim, StoredOutcome outcome) {
      return Either.right(null);
    }

    @Override
    public Either<IdempotencyFailure, Void> abandon(IdempotencyClaim claim) {
      return Either.right(null);
    }
  }

  /** Grants every permit. */
  private static final class NoPermits implements PermitService {
    @Override
    public Either<PermitRefusal, Permit> acquire(
        String backendServer, Duration timeLeft, Duration maxWait) {
      return Either.right(new UncountedPermit());
    }
  }

  /** A permit that counts towards no limit. */
  private static final class UncountedPermit implements Permit {
    @Override
    public boolean isSafe() {
      return true;
    }

    @Override
    public void close() {
      // The permit is not counted.
    }
  }

  /** Stores no session pins. */
  private static final class NoPins implements SessionPins {
    @Override
    public PinLookupResult find(String team, String sessionId, String model) {
      return PinLookupResult.NONE;
    }

    @Override
    public VersionRef pin(String team, String sessionId, VersionRef version, boolean replace) {
      return version;
    }
  }

  /** Always returns the first configuration that became available. */
  private static final class FirstConfig implements ConfigSource {
    private final ConfigSource source;
    private final AtomicReference<RevisionedConfig> first =
        new AtomicReference<>(RevisionedConfig.NONE);

    FirstConfig(ConfigSource source) {
      this.source = source;
    }

    @Override
    public RevisionedConfig current() {
      return first.updateAndGet(f -> f.revision() > 0 ? f : source.current());
    }
  }
}
