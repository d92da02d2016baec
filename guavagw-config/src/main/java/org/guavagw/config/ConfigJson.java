package org.guavagw.config;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Prints configurations as JSON and parses them. Parsing printed text gives an equal configuration,
 * which prints as the same text. Stateless.
 *
 * <pre>{@code
 * System.out.println(ConfigJson.print(config));
 * }</pre>
 */
public final class ConfigJson {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(SerializationFeature.INDENT_OUTPUT)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(JsonInclude.Include.ALWAYS, JsonInclude.Include.ALWAYS))
          .build();

  private ConfigJson() {}

  /** Returns a configuration as indented JSON with all fields. */
  public static String print(GatewayConfig config) {
    try {
      return MAPPER.writeValueAsString(config);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write a configuration as JSON", e);
    }
  }

  /**
   * Parses a configuration. Returns all faults if the document violates the schema or a rule of
   * {@link ConfigValidator}.
   */
  public static Either<List<ConfigFault>, GatewayConfig> parse(String text) {
    JsonNode tree;
    try {
      tree = MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      return Either.left(List.of(notJson(e)));
    }
    Either<ConfigFault, GatewayConfig> bound = bind(tree);
    if (bound.isLeft()) {
      List<ConfigFault> schemaViolations = ConfigSchema.faultsOf(tree);
      return Either.left(schemaViolations.isEmpty() ? List.of(bound.getLeft()) : schemaViolations);
    }
    List<ConfigFault> faults = ConfigValidator.faultsOf(tree, bound.get());
    return faults.isEmpty() ? Either.right(bound.get()) : Either.left(faults);
  }

  static JsonNode tree(GatewayConfig config) {
    return MAPPER.valueToTree(config);
  }

  private static Either<ConfigFault, GatewayConfig> bind(JsonNode tree) {
    try {
      GatewayConfig config = MAPPER.treeToValue(tree, GatewayConfig.class);
      return config == null
          ? Either.left(new ConfigFault("$", "is empty", "provide a JSON object"))
          : Either.right(config);
    } catch (JsonMappingException e) {
      return Either.left(
          new ConfigFault(pathOf(e), e.getOriginalMessage(), "see the published schema"));
    } catch (JsonProcessingException e) {
      return Either.left(notJson(e));
    }
  }

  private static String pathOf(JsonMappingException e) {
    return e.getPath().stream()
        .map(r -> r.getFieldName() == null ? "[" + r.getIndex() + "]" : "." + r.getFieldName())
        .collect(Collectors.joining("", "$", ""));
  }

  private static ConfigFault notJson(JsonProcessingException e) {
    String where =
        e.getLocation() == null
            ? ""
            : " at line "
                + e.getLocation().getLineNr()
                + ", column "
                + e.getLocation().getColumnNr();
    return new ConfigFault(
        "$", "is not JSON" + where + ": " + e.getOriginalMessage(), "correct the syntax");
  }
}
