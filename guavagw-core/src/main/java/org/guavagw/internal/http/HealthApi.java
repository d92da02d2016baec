package org.guavagw.internal.http;

import io.jooby.Context;
import io.jooby.Jooby;
import java.util.function.BooleanSupplier;

/** Answers the liveness and readiness checks of the load balancer. Thread-safe. */
public final class HealthApi {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final BooleanSupplier ready;

  /** Creates the API; the supplier returns whether the entry is ready. */
  public HealthApi(BooleanSupplier ready) {
    this.ready = ready;
  }

  /** Adds the API's routes to an application. */
  public void install(Jooby app) {
    app.get("/healthz", context -> answer(context, true));
    app.get("/readyz", context -> answer(context, ready.getAsBoolean()));
  }

  private static Object answer(Context context, boolean good) {
    context.setResponseCode(good ? OK : UNAVAILABLE);
    return context.send(good ? "ok" : "not ready");
  }
}
