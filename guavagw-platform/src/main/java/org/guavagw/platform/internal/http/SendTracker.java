package org.guavagw.platform.internal.http;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Notes whether any byte of a request may have left this process. One tracker belongs to one call
 * and travels as a tag of its request. Thread-safe.
 */
final class SendTracker {
  private volatile boolean sent;

  boolean sent() {
    return sent;
  }

  /** Network interceptor: marks the tracker of a call when a connection is about to carry it. */
  static Response mark(Interceptor.Chain chain) throws IOException {
    SendTracker tracker = chain.request().tag(SendTracker.class);
    if (tracker != null) {
      tracker.sent = true;
    }
    return chain.proceed(chain.request());
  }
}
