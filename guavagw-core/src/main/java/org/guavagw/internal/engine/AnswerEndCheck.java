package org.guavagw.internal.engine;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Refuses an answer whose end is not certain: one that ends with its connection although the
 * request could not be written to its end.
 *
 * <p>A write that fails because the backend server has reset the connection uses up the error, so
 * that reading ends as it does after an orderly close.
 *
 * <p>To be added as a network interceptor and as the event listener of the same client.
 * Thread-safe.
 */
final class AnswerEndCheck extends EventListener implements Interceptor {
  private static final long UNKNOWN_LENGTH = -1;

  private final Set<Call> failedRequests = ConcurrentHashMap.newKeySet();

  @Override
  public void requestFailed(Call call, IOException e) {
    failedRequests.add(call);
  }

  @Override
  public Response intercept(Chain chain) throws IOException {
    try {
      Response response = chain.proceed(chain.request());
      if (failedRequests.contains(chain.call()) && endsWithConnection(response)) {
        throw new ProtocolException("the connection failed before the end of the answer");
      }
      return response;
    } finally {
      failedRequests.remove(chain.call());
    }
  }

  private static boolean endsWithConnection(Response response) {
    return response.body().contentLength() == UNKNOWN_LENGTH
        && !"chunked".equalsIgnoreCase(response.header("Transfer-Encoding"));
  }
}
