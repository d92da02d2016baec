package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import java.util.Optional;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.config.CascadeConfig;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.TeamConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.config.RevisionedConfig;

/**
 * Resolves a model name to a task class, model or version and checks that the team may use it.
 * Thread-safe.
 *
 * <p>A name that the team may not use is refused like an unknown name, so that the names of other
 * teams' models do not leak.
 */
public final class ResolveModelFilter implements Filter {
  private final ConfigSource configs;

  /** Creates the filter. */
  public ResolveModelFilter(ConfigSource configs) {
    this.configs = configs;
  }

  @Override
  public Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next) {
    RevisionedConfig current = configs.current();
    String name = exchange.chat().request().model();
    exchange.trace().taskClass(name);
    exchange.trace().usedRevision(current.revision());
    return resolve(current.config(), exchange.requireTeam(), name)
        .flatMap(target -> next.proceed(exchange.withTarget(target)));
  }

  private static Either<Refusal, Target> resolve(
      GatewayConfig config, TeamConfig team, String name) {
    Optional<CascadeConfig> cascade = config.cascade(name);
    if (cascade.isPresent() && team.cascades().contains(name)) {
      return Either.right(new Target.Cascade(cascade.get()));
    }
    if (config.model(name).filter(m -> allowsAny(team, m)).isPresent()) {
      return Either.right(new Target.Model(name));
    }
    if (VersionRef.isWellFormed(name)) {
      return resolveVersion(config, team, VersionRef.parse(name));
    }
    return Either.left(
        Refusal.notRun(
            RefusalCode.MODEL_NOT_ALLOWED, "\"" + name + "\" is not among your team's models"));
  }

  private static boolean allowsAny(TeamConfig team, ModelConfig model) {
    return model.versions().stream().anyMatch(v -> team.allows(new VersionRef(model.id(), v.id())));
  }

  private static Either<Refusal, Target> resolveVersion(
      GatewayConfig config, TeamConfig team, VersionRef ref) {
    if (!team.allows(ref) || config.versionState(ref).isEmpty()) {
      return Either.left(
          Refusal.notRun(
              RefusalCode.MODEL_NOT_ALLOWED, "\"" + ref + "\" is not among your team's models"));
    }
    return Either.right(new Target.Version(ref));
  }
}
