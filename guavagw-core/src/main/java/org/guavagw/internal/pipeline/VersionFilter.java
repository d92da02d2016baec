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

/** Picks the version that runs a request for a model, keeping sessions on theirs. Thread-safe. */
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
  public Either<Refusal, Answered> apply(Exchange exchange, Next next) {
    if (exchange.version().isPresent()) {
      return next.proceed(exchange);
    }
    return pick(exchange, exchange.requireTarget())
        .flatMap(picked -> next.proceed(exchange.withVersion(picked)));
  }

  private Either<Refusal, VersionPick> pick(Exchange exchange, Target target) {
    if (target instanceof Target.Version named) {
      return pickNamed(named.ref());
    }
    if (target instanceof Target.Model model) {
      return pickForModel(exchange, model.id());
    }
    return Either.left(Refusal.notRun(RefusalCode.INTERNAL, "a cascade has no single version"));
  }

  /** Picks the version of one model for the request's session. */
  public Either<Refusal, VersionPick> pickForModel(Exchange exchange, String model) {
    GatewayConfig config = configs.current().config();
    TeamConfig team = exchange.requireTeam();
    PinLookupResult pin =
        exchange
            .terms()
            .sessionId()
            .map(s -> pins.find(team.id(), s, model))
            .orElse(PinLookupResult.NONE);
    String stickyKey = team.id() + '/' + exchange.terms().sessionId().orElse(exchange.requestId());
    return chooser
        .choose(config, model, stickyKey, pin.version(), team::allows)
        .mapLeft(VersionFilter::refusal)
        .filterOrElse(choice -> isSafe(choice, pin), choice -> unknownSession())
        .map(choice -> keep(exchange, team, choice));
  }

  /**
   * A rollout only ever moves sessions to its new version, so a session of which nothing is known
   * can have begun on another version only if it would get the new one now.
   */
  private static boolean isSafe(VersionChoice choice, PinLookupResult pin) {
    return pin.certain() || choice.reason() != ChoiceReason.ROLLOUT_NEW;
  }

  private static Refusal unknownSession() {
    return Refusal.notRun(
        RefusalCode.STORE_UNAVAILABLE,
        "neither the table service nor another entry can say which version the session began on",
        SessionPins.LOOKUP_RETRY_DELAY);
  }

  private VersionPick keep(Exchange exchange, TeamConfig team, VersionChoice choice) {
    VersionRef ref = choice.version();
    exchange.trace().chose(CandidateKind.VERSION, ref.toString());
    boolean moved = choice.reason() == ChoiceReason.MOVED_BECAUSE_WITHDRAWN;
    VersionRef kept =
        exchange.terms().sessionId().map(s -> pins.pin(team.id(), s, ref, moved)).orElse(ref);
    return new VersionPick(kept, moved);
  }

  private Either<Refusal, VersionPick> pickNamed(VersionRef ref) {
    Optional<VersionState> state = configs.current().config().versionState(ref);
    if (state.isEmpty() || state.get() == VersionState.WITHDRAWN) {
      return Either.left(
          Refusal.notRun(RefusalCode.VERSION_WITHDRAWN, "\"" + ref + "\" has been withdrawn"));
    }
    return Either.right(new VersionPick(ref, false));
  }

  private static Refusal refusal(NoVersion none) {
    String reason = "no version of the model takes work now";
    RefusalCode code =
        none instanceof NoVersion.ModelUnknown
            ? RefusalCode.MODEL_UNKNOWN
            : RefusalCode.VERSION_WITHDRAWN;
    return Refusal.notRun(code, reason);
  }
}
