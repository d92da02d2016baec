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

/** Authenticates the caller by its API key, comparing hashes in constant time. Thread-safe. */
public final class AuthenticationFilter implements Filter {
  private final ConfigSource configs;

  /** Creates the filter. */
  public AuthenticationFilter(ConfigSource configs) {
    this.configs = configs;
  }

  @Override
  public Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next) {
    Optional<TeamConfig> team = teamOf(exchange.metadata().apiKey());
    if (team.isEmpty()) {
      return Either.left(
          Refusal.notRun(RefusalCode.UNAUTHENTICATED, "the API key is missing or unknown"));
    }
    exchange.trace().team(team.get().id());
    return next.proceed(exchange.withTeam(team.get()));
  }

  /** Returns the team that an API key belongs to; empty if the key is missing or unknown. */
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
