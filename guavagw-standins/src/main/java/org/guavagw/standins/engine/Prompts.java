package org.guavagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The text of a prompt and the hashes of its prefixes. Stateless. */
public final class Prompts {
  /** Characters in a block of the prefix cache. */
  public static final int BLOCK_CHARS = 64;

  private Prompts() {}

  /** The messages of a chat as one text: role, line feed, content, line feed for each. */
  public static String text(JsonNode messages) {
    StringBuilder text = new StringBuilder();
    for (JsonNode message : messages) {
      text.append(message.path("role").asText()).append('\n');
      text.append(message.path("content").asText()).append('\n');
    }
    return text.toString();
  }

  /** One hash for each whole block; it covers the text from the start to the end of the block. */
  public static List<String> blockHashes(String text) {
    List<String> hashes = new ArrayList<>();
    String previous = "";
    for (int end = BLOCK_CHARS; end <= text.length(); end += BLOCK_CHARS) {
      previous = hash(previous + text.substring(end - BLOCK_CHARS, end));
      hashes.add(previous);
    }
    return List.copyOf(hashes);
  }

  private static String hash(String text) {
    return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).toString();
  }
}
