package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import java.util.Optional;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.TeamConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.explain.CandidateKind;
import org.guavagw.internal.rollout.ChoiceReason;
import org.guavagw.internal.rollout.NoVersion;
import org.guavagw.internal.rollout.VersionChoice;
import org.guavagw.internal.rollout.VersionChooser;
import org.guavagw.internal.session.PinLookupResult;
import org.guavagw.internal.session.SessionPins;

/**
 * Selects the version that runs a request for a model and keeps each session on its version.
 * Thread-safe.
 */
public final class VersionFilter implements Filter {
  private final ConfigSource configs;
  private final VersionChooser chooser;
  private final SessionPins pins;

  /** Creates the filter. */
  public VersionFilter(ConfigSource configs, VersionChooser chooser, SessionPins pins) {
    this.configs = configs;
    this.chooser = chooser;
    this.pins = pins;
  }

  @Override
  public Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next) {
    if (exchange.version().isPresent()) {
      return next.proceed(exchange);
    }
    return select(exchange, exchange.requireTarget())
        .flatMap(selected -> next.proceed(exchange.withVersion(selected)));
  }

  private Either<Refusal, SelectedVersion> select(Exchange exchange, Target target) {
    if (target instanceof Target.Version requested) {
      return selectNamed(requested.ref());
    }
    if (target instanceof Target.Model model) {
      return selectForModel(exchange, model.id());
    }
    return Either.left(Refusal.notRun(RefusalCode.INTERNAL, "a cascade has no single version"));
  }

  /** Selects the version of a model for the request's session. */
  public Either<Refusal, SelectedVersion> selectForModel(Exchange exchange, String model) {
    GatewayConfig config = configs.current().config();
    TeamConfig team = exchange.requireTeam();
    PinLookupResult pin =
        exchange
            .metadata()
            .sessionId()
            .map(s -> pins.find(team.id(), s, model))
            .orElse(PinLookupResult.NONE);
    String stickyKey =
        team.id() + '/' + exchange.metadata().sessionId().orElse(exchange.requestId());
    return chooser
        .choose(config, model, stickyKey, pin.version(), team::allows)
        .mapLeft(VersionFilter::refusal)
        .filterOrElse(choice -> keepsSessionVersion(choice, pin), choice -> versionUnknown())
        .map(choice -> pinSession(exchange, team, choice));
  }

  /**
   * Returns whether the choice cannot move the session off its version. A rollout moves sessions
   * only to its new version, so a session without a known pin can have started on another version
   * only if the new version is chosen now.
   */
  private static boolean keepsSessionVersion(VersionChoice choice, PinLookupResult pin) {
    return pin.certain() || choice.reason() != ChoiceReason.ROLLOUT_NEW;
  }

  private static Refusal versionUnknown() {
    return Refusal.notRun(
        RefusalCode.STORE_UNAVAILABLE,
        "neither the table service nor another entry could look up the version of the session",
        SessionPins.LOOKUP_RETRY_DELAY);
  }

  private SelectedVersion pinSession(Exchange exchange, TeamConfig team, VersionChoice choice) {
    VersionRef ref = choice.version();
    exchange.trace().chose(CandidateKind.VERSION, ref.toString());
    boolean moved = choice.reason() == ChoiceReason.MOVED_BECAUSE_WITHDRAWN;
    VersionRef pinned =
        exchange.metadata().sessionId().map(s -> pins.pin(team.id(), s, ref, moved)).orElse(ref);
    return new SelectedVersion(pinned, moved);
  }

  private Either<Refusal, SelectedVersion> selectNamed(VersionRef ref) {
    Optional<VersionState> state = configs.current().config().versionState(ref);
    if (state.isEmpty() || state.get() == VersionState.WITHDRAWN) {
      return Either.left(
          Refusal.notRun(RefusalCode.VERSION_WITHDRAWN, "\"" + ref + "\" has been withdrawn"));
    }
    return Either.right(new SelectedVersion(ref, false));
  }

  private static Refusal refusal(NoVersion none) {
    String reason = "no version of the model accepts requests now";
    RefusalCode code =
        none instanceof NoVersion.ModelUnknown
            ? RefusalCode.MODEL_UNKNOWN
            : RefusalCode.VERSION_WITHDRAWN;
    return Refusal.notRun(code, reason);
  }
}
