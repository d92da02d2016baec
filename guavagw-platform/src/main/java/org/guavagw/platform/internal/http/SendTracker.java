package org.guavagw.platform.internal.http;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Records whether any byte of a request may have left this process. Each call has its own tracker,
 * attached to the request as a tag. Thread-safe.
 */
final class SendTracker {
  private volatile boolean sent;

  boolean sent() {
    return sent;
  }

  /** Network interceptor that marks a request as sent just before it is written. */
  static Response markSent(Interceptor.Chain chain) throws IOException {
    SendTracker tracker = chain.request().tag(SendTracker.class);
    if (tracker != null) {
      tracker.sent = true;
    }
    return chain.proceed(chain.request());
  }
}
