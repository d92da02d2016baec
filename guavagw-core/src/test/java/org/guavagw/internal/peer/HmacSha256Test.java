package org.guavagw.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HmacSha256Test {
  /** Test case 2 of RFC 4231. */
  @Test
  void shouldComputeTheCodeOfThePublishedExample() {
    byte[] code = new HmacSha256(bytes("Jefe")).sign(bytes("what do ya want for nothing?"));
    assertThat(HexFormat.of().formatHex(code))
        .isEqualTo("5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 16, 63, 64, 65, 131, 200})
  void shouldComputeTheCodeOfTheJdkForAnyLengthOfKey(int keyLength) {
    byte[] key = new byte[keyLength];
    Arrays.fill(key, (byte) 0xaa);
    byte[] message = bytes("Test Using Larger Than Block-Size Key - Hash Key First");
    assertThat(new HmacSha256(key).sign(message))
        .isEqualTo(Hashing.hmacSha256(key).hashBytes(message).asBytes());
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
