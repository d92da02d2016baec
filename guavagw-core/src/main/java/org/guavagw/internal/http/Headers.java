package org.guavagw.internal.http;

/** Names of the HTTP headers between callers and the router. */
public final class Headers {
  public static final String REQUEST_ID = "X-Request-Id";
  public static final String SESSION_ID = "X-Session-Id";
  public static final String DEADLINE_MS = "X-Deadline-Ms";
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  public static final String MODEL = "X-Guavagw-Model";
  public static final String VERSION = "X-Guavagw-Version";
  public static final String BACKEND_SERVER = "X-Guavagw-Backend-Server";
  public static final String REVISION = "X-Guavagw-Revision";
  public static final String SESSION_MOVED = "X-Guavagw-Session-Moved";
  public static final String RUN_STATE = "X-Guavagw-Run-State";

  private Headers() {}
}
