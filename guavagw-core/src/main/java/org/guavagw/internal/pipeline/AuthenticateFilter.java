package org.guavagw.internal.pipeline;

import com.google.common.hash.Hashing;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.config.TeamConfig;
import org.guavagw.internal.config.ConfigSource;

/** Finds the team that a key belongs to, comparing hashes in constant time. Thread-safe. */
public final class AuthenticateFilter implements Filter {
  private final ConfigSource configs;

  /** Creates the filter. */
  public AuthenticateFilter(ConfigSource configs) {
    this.configs = configs;
  }

  @Override
  public Either<Refusal, Answered> apply(Exchange exchange, Next next) {
    Optional<TeamConfig> team = teamOf(exchange.terms().apiKey());
    if (team.isEmpty()) {
      return Either.left(
          Refusal.notRun(RefusalCode.UNAUTHENTICATED, "the key is missing or unknown"));
    }
    exchange.trace().team(team.get().id());
    return next.proceed(exchange.withTeam(team.get()));
  }

  /** The team that a key belongs to. */
  public Optional<TeamConfig> teamOf(Optional<String> apiKey) {
    if (apiKey.isEmpty()) {
      return Optional.empty();
    }
    byte[] hash = hexHash(apiKey.get());
    TeamConfig found = null;
    for (TeamConfig team : configs.current().config().teams()) {
      for (String known : team.keyHashes()) {
        boolean equal = MessageDigest.isEqual(hash, known.getBytes(StandardCharsets.US_ASCII));
        found = equal ? team : found;
      }
    }
    return Optional.ofNullable(found);
  }

  private static byte[] hexHash(String key) {
    String hex = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    return hex.getBytes(StandardCharsets.US_ASCII);
  }
}
