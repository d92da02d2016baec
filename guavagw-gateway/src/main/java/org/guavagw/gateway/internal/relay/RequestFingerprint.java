package org.guavagw.gateway.internal.relay;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import org.guavagw.gateway.spi.CallerRequest;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Recognizes a request that comes again under another id, at any entry: by its host, method,
 * target, key, prompt and body. Stateless.
 */
final class RequestFingerprint {
  private static final int HEX_DIGITS = 16;

  private RequestFingerprint() {}

  /** Returns the fingerprint of a request; does not change the position of its body. */
  static String of(HttpRequest head, CallerRequest caller, ByteBuf body) {
    // A caller must not be able to find a request whose fingerprint is that of another caller's.
    Hasher hasher = Hashing.sha256().newHasher();
    put(hasher, head.headers().get(HttpHeaderNames.HOST, ""));
    put(hasher, head.method().name());
    put(hasher, head.uri());
    put(hasher, caller.key().orElse(""));
    hasher.putInt(caller.prompt().size());
    caller.prompt().stream().map(PromptPart::id).forEach(id -> put(hasher, id));
    hasher.putBytes(body.nioBuffer());
    return hasher.hash().toString().substring(0, HEX_DIGITS);
  }

  private static void put(Hasher hasher, String text) {
    hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
  }
}
