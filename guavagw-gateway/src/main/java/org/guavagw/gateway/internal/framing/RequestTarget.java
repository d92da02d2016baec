package org.guavagw.gateway.internal.framing;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the target of a request. Stateless.
 *
 * <p>A target is refused if a backend server could resolve it to another path than the one by which
 * the route and the permission are decided.
 */
public final class RequestTarget {
  private static final Pattern ABSOLUTE =
      Pattern.compile("http://([^/?#@]+)([/?].*)?", Pattern.CASE_INSENSITIVE);

  /** A segment that names the directory itself or the one above, also in its encoded form. */
  private static final Pattern DOT_SEGMENT =
      Pattern.compile("/(\\.|%2e){1,2}(/|$)", Pattern.CASE_INSENSITIVE);

  private RequestTarget() {}

  /** Returns why a target is not read; empty if it is. */
  static Optional<String> faultOf(String method, String target) {
    if (target.indexOf('#') >= 0 || target.indexOf('\\') >= 0) {
      return Optional.of("the target has a fragment or a backslash");
    }
    if (target.equals("*")) {
      return Optional.empty();
    }
    if (!target.startsWith("/") && !ABSOLUTE.matcher(target).matches()) {
      return Optional.of("the target is neither a path nor a URL, method " + method);
    }
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    return path.indexOf('.') < 0 && path.indexOf('%') < 0
        ? Optional.empty()
        : Optional.of(path)
            .filter(p -> DOT_SEGMENT.matcher(p).find())
            .map(p -> "the path has dot segments");
  }

  /** Replaces a target in absolute form by its path, and Host by its host. */
  public static void toOriginForm(HttpRequest request) {
    if (request.uri().startsWith("/")) {
      return;
    }
    Matcher absolute = ABSOLUTE.matcher(request.uri());
    if (!absolute.matches()) {
      return;
    }
    String path = Optional.ofNullable(absolute.group(2)).orElse("/");
    request.setUri(path.startsWith("/") ? path : "/" + path);
    request.headers().set(HttpHeaderNames.HOST, absolute.group(1).toLowerCase(Locale.ROOT));
  }
}
