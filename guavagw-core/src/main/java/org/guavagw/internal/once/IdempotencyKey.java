package org.guavagw.internal.once;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import org.guavagw.platform.RowKey;

/** Identifies a call that must run at most once, by the caller's idempotency key. Immutable. */
public record IdempotencyKey(String team, String service, String key) {
  static final String TABLE = "once";

  /**
   * Returns the key of the row. It is a hash, so its length is bounded and separators need no
   * escaping.
   */
  RowKey rowKey() {
    byte[] hash =
        Hashing.sha256()
            .newHasher()
            .putInt(team.length())
            .putString(team, StandardCharsets.UTF_8)
            .putInt(service.length())
            .putString(service, StandardCharsets.UTF_8)
            .putString(key, StandardCharsets.UTF_8)
            .hash()
            .asBytes();
    return new RowKey(TABLE, BaseEncoding.base16().lowerCase().encode(hash));
  }
}
