package org.guavagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Computes the text of a prompt and the hashes of its prefixes. Stateless. */
public final class Prompts {
  /** Characters in a block of the prefix cache. */
  public static final int BLOCK_CHARS = 64;

  private Prompts() {}

  /**
   * Returns the messages of a chat as one text: per message a line with role and one with content.
   */
  public static String text(JsonNode messages) {
    StringBuilder text = new StringBuilder();
    for (JsonNode message : messages) {
      text.append(message.path("role").asText()).append('\n');
      text.append(message.path("content").asText()).append('\n');
    }
    return text.toString();
  }

  /** Returns one hash per complete block, covering the text from its start to the block's end. */
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
