package org.guavagw.gateway.internal.control;

import com.google.common.base.Splitter;
import com.google.common.primitives.Ints;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.spi.StoredRow;

/** Encodes and decodes an entry's row in the store: data centre, host and port. Stateless. */
final class MemberRowCodec {
  private static final String SEPARATOR = " ";
  private static final int FIELDS = 3;
  private static final int MAX_PORT = 65_535;

  private MemberRowCodec() {}

  static byte[] encode(Member member) {
    String text = String.join(SEPARATOR, member.dataCentre(), member.host(), "" + member.port());
    return text.getBytes(StandardCharsets.UTF_8);
  }

  static Optional<Member> decode(StoredRow row) {
    List<String> fields =
        Splitter.on(SEPARATOR).splitToList(new String(row.value(), StandardCharsets.UTF_8));
    Integer port = fields.size() == FIELDS ? Ints.tryParse(fields.get(2)) : null;
    return port == null || port < 0 || port > MAX_PORT
        ? Optional.empty()
        : Optional.of(new Member(row.key(), fields.get(0), fields.get(1), port));
  }
}
