package org.guavagw.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.util.Comparator;
import java.util.List;

/** Checks a JSON document against the published schema of the configuration. Stateless. */
final class ConfigSchema {
  private static final String RESOURCE = "/guavagw-config.schema.json";
  private static final JsonSchema SCHEMA = load();

  private ConfigSchema() {}

  static List<ConfigFault> faultsOf(JsonNode document) {
    return SCHEMA.validate(document).stream()
        .map(ConfigSchema::toFault)
        .sorted(Comparator.comparing(ConfigFault::path))
        .toList();
  }

  private static ConfigFault toFault(ValidationMessage message) {
    String path = message.getInstanceLocation().toString();
    String text = message.getMessage();
    String problem = text.startsWith(path + ": ") ? text.substring(path.length() + 2) : text;
    return new ConfigFault(path, problem, "see the published schema");
  }

  private static JsonSchema load() {
    SchemaValidatorsConfig settings =
        SchemaValidatorsConfig.builder().pathType(PathType.JSON_PATH).build();
    return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
        .getSchema(ConfigSchema.class.getResourceAsStream(RESOURCE), settings);
  }
}
