package org.guavagw.internal.rollout;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.RolloutState;
import org.guavagw.config.VersionConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;

/**
 * Chooses the version of a model for a session.
 *
 * <p>Invariants: a pinned version is kept unless it is withdrawn or not allowed; a higher stage of
 * a rollout only moves sessions from the old to the new version; a withdrawn version is never
 * chosen. Stateless and thread-safe.
 */
public final class VersionChooser {
  private static final HashFunction HASH = Hashing.murmur3_128();
  private static final int BUCKETS = 10_000;
  private static final int BUCKETS_PER_PERCENT = BUCKETS / 100;

  /** Chooses among all versions of the model. */
  public Either<NoVersion, VersionChoice> choose(
      GatewayConfig config, String modelId, String stickyKey, Optional<String> pinnedVersion) {
    return choose(config, modelId, stickyKey, pinnedVersion, v -> true);
  }

  /** Chooses among the allowed versions of the model. */
  public Either<NoVersion, VersionChoice> choose(
      GatewayConfig config,
      String modelId,
      String stickyKey,
      Optional<String> pinnedVersion,
      Predicate<VersionRef> allowed) {
    Optional<ModelConfig> model = config.model(modelId);
    if (model.isEmpty()) {
      return Either.left(new NoVersion.ModelUnknown(modelId));
    }
    Candidates candidates = new Candidates(model.get(), allowed);
    if (pinnedVersion.isPresent() && candidates.isAvailable(pinnedVersion.get())) {
      return Either.right(choice(modelId, pinnedVersion.get(), ChoiceReason.PINNED, null));
    }
    Optional<VersionChoice> unpinned = chooseUnpinned(config, candidates, modelId, stickyKey);
    if (pinnedVersion.isEmpty()) {
      return unpinned
          .<Either<NoVersion, VersionChoice>>map(Either::right)
          .orElseGet(() -> Either.left(new NoVersion.NoneServing(modelId)));
    }
    VersionRef pinned = new VersionRef(modelId, pinnedVersion.get());
    return unpinned
        .<Either<NoVersion, VersionChoice>>map(c -> Either.right(movedFromWithdrawn(c)))
        .orElseGet(() -> Either.left(new NoVersion.WithdrawnWithoutSuccessor(pinned)));
  }

  /** Returns whether a rollout at this percentage sends the session to its new version. */
  static boolean isOnNewVersion(String rolloutId, String stickyKey, int percent) {
    long hash =
        HASH.newHasher()
            .putUnencodedChars(rolloutId)
            .putChar('\0')
            .putUnencodedChars(stickyKey)
            .hash()
            .asLong();
    return Math.floorMod(hash, (long) BUCKETS) < (long) percent * BUCKETS_PER_PERCENT;
  }

  private static Optional<VersionChoice> chooseUnpinned(
      GatewayConfig config, Candidates candidates, String modelId, String stickyKey) {
    Optional<RolloutConfig> rollout = activeRollout(config, modelId);
    if (rollout.isEmpty()) {
      return candidates.newestServing().map(v -> choice(modelId, v, ChoiceReason.SERVING, null));
    }
    RolloutConfig r = rollout.get();
    boolean toNewVersion = isOnNewVersion(r.id(), stickyKey, r.currentPercent());
    if (toNewVersion && candidates.isAvailable(r.toVersion())) {
      return Optional.of(choice(modelId, r.toVersion(), ChoiceReason.ROLLOUT_NEW, r.id()));
    }
    if (candidates.isAvailable(r.fromVersion())) {
      return Optional.of(choice(modelId, r.fromVersion(), ChoiceReason.ROLLOUT_OLD, r.id()));
    }
    return candidates.newestServing().map(v -> choice(modelId, v, ChoiceReason.SERVING, null));
  }

  private static Optional<RolloutConfig> activeRollout(GatewayConfig config, String modelId) {
    return config.rollouts().stream()
        .filter(r -> r.model().equals(modelId))
        .filter(r -> r.state() == RolloutState.RUNNING || r.state() == RolloutState.HELD)
        .findFirst();
  }

  private static VersionChoice choice(
      String modelId, String version, ChoiceReason reason, String rolloutId) {
    return new VersionChoice(
        new VersionRef(modelId, version), reason, Optional.ofNullable(rolloutId));
  }

  private static VersionChoice movedFromWithdrawn(VersionChoice unpinned) {
    return new VersionChoice(
        unpinned.version(), ChoiceReason.MOVED_BECAUSE_WITHDRAWN, unpinned.rolloutId());
  }

  /** The versions of a model that may be chosen. Immutable. */
  private record Candidates(ModelConfig model, Predicate<VersionRef> allowed) {
    boolean isAvailable(String version) {
      return model.versions().stream()
          .anyMatch(v -> v.id().equals(version) && isAllowed(v) && isNotWithdrawn(v));
    }

    Optional<String> newestServing() {
      List<VersionConfig> versions = model.versions();
      for (int i = versions.size() - 1; i >= 0; i--) {
        VersionConfig v = versions.get(i);
        if (v.state() == VersionState.SERVING && isAllowed(v)) {
          return Optional.of(v.id());
        }
      }
      return Optional.empty();
    }

    private boolean isAllowed(VersionConfig v) {
      return allowed.test(new VersionRef(model.id(), v.id()));
    }

    private static boolean isNotWithdrawn(VersionConfig v) {
      return v.state() != VersionState.WITHDRAWN;
    }
  }
}
