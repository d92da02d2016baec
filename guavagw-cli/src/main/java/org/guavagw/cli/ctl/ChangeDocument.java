package org.guavagw.cli.ctl;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.guavagw.config.ConfigJson;
import org.guavagw.config.GatewayConfig;

/** Request body of a configuration change in the admin API. Immutable. */
record ChangeDocument(
    String changeId, String author, String comment, long expectedRevision, GatewayConfig config) {

  /** Returns a change id derived from the content and the expected revision. */
  static String idOf(GatewayConfig config, long expectedRevision) {
    String text = expectedRevision + "\n" + ConfigJson.print(config);
    return "c-" + Hashing.sha256().hashString(text, StandardCharsets.UTF_8);
  }
}
