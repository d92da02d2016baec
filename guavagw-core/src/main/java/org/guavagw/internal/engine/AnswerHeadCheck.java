package org.guavagw.internal.engine;

import java.io.IOException;
import java.net.ProtocolException;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Refuses answers with a head that is not valid, which the library reads leniently (RFC 9110,
 * section 15). To be added as a network interceptor. Stateless.
 */
final class AnswerHeadCheck implements Interceptor {
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;

  @Override
  public Response intercept(Chain chain) throws IOException {
    Response response = chain.proceed(chain.request());
    if (response.code() < MIN_FINAL_STATUS || response.code() > MAX_STATUS) {
      throw new ProtocolException("the status of the answer is not valid: " + response.code());
    }
    return response;
  }
}
