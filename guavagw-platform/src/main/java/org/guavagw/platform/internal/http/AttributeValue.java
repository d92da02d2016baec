package org.guavagw.platform.internal.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/** An attribute value in DynamoDB JSON: a string, a number or bytes. Immutable. */
@JsonInclude(JsonInclude.Include.NON_NULL)
record AttributeValue(
    @JsonProperty("S") String string,
    @JsonProperty("N") String number,
    @JsonProperty("B") byte[] bytes) {
  static AttributeValue of(String text) {
    return new AttributeValue(text, null, null);
  }

  static AttributeValue of(long number) {
    return new AttributeValue(null, Long.toString(number), null);
  }

  static AttributeValue of(byte[] content) {
    return new AttributeValue(null, null, content);
  }
}
