package org.guavagw.internal.engine;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.regex.Pattern;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Refuses answers whose status or field names are not valid (RFC 9110, sections 15 and 5.1), which
 * the library reads leniently. To be added as a network interceptor. Stateless.
 */
final class AnswerHeadCheck implements Interceptor {
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;

  private static final Pattern FIELD_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

  @Override
  public Response intercept(Chain chain) throws IOException {
    Response response = chain.proceed(chain.request());
    if (response.code() < MIN_FINAL_STATUS || response.code() > MAX_STATUS) {
      throw new ProtocolException("the status of the answer is not valid: " + response.code());
    }
    if (!response.headers().names().stream().allMatch(n -> FIELD_NAME.matcher(n).matches())) {
      throw new ProtocolException("the answer has a field name that is not valid");
    }
    return response;
  }
}
