package org.guavagw.cli.ctl;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.guavagw.config.ConfigJson;
import org.guavagw.config.GatewayConfig;

/** A change as the operators' API takes it. Immutable. */
record ChangeDocument(
    String changeId, String author, String comment, long expectedRevision, GatewayConfig config) {

  /** A change id that is the same for the same content on the same revision. */
  static String idOf(GatewayConfig config, long expectedRevision) {
    String text = expectedRevision + "\n" + ConfigJson.print(config);
    return "c-" + Hashing.sha256().hashString(text, StandardCharsets.UTF_8);
  }
}
