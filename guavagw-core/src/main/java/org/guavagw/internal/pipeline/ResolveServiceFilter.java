package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.config.RevisionedConfig;

/** Checks that the plain service exists and that the team may call it. Thread-safe. */
public final class ResolveServiceFilter implements Filter {
  private final ConfigSource configs;

  /** Creates the filter. */
  public ResolveServiceFilter(ConfigSource configs) {
    this.configs = configs;
  }

  @Override
  public Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next) {
    RevisionedConfig current = configs.current();
    String service = exchange.service().call().service();
    exchange.trace().taskClass(service);
    exchange.trace().usedRevision(current.revision());
    boolean known = current.config().plainService(service).isPresent();
    if (!known || !exchange.requireTeam().plainServices().contains(service)) {
      return Either.left(
          Refusal.notRun(
              RefusalCode.SERVICE_UNKNOWN,
              "\"" + service + "\" is not among your team's services"));
    }
    return next.proceed(exchange.withTarget(new Target.Service(service)));
  }
}
