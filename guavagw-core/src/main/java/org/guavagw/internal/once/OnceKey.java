package org.guavagw.internal.once;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import org.guavagw.platform.RowKey;

/** Names one call that must not run twice. Immutable. */
public record OnceKey(String team, String service, String key) {
  static final String TABLE = "once";

  /** The row of the key; hashed, so that its length is bounded and separators do not matter. */
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
