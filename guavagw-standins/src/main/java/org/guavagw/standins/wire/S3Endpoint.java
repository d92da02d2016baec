package org.guavagw.standins.wire;

import java.io.StringWriter;
import java.util.List;
import javax.xml.stream.XMLOutputFactory;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamWriter;
import org.guavagw.platform.ObjectStore;

/** Serves the objects of one bucket with the S3 REST protocol. Thread-safe. */
final class S3Endpoint {
  private static final String XML_TYPE = "application/xml";
  private static final String BINARY_TYPE = "application/octet-stream";
  private static final String NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/";
  private static final int PAGE_SIZE = 1000;

  private final ObjectStore objects;

  S3Endpoint(ObjectStore objects) {
    this.objects = objects;
  }

  StandInResponse put(String name, byte[] content) {
    return objects
        .put(name, content)
        .fold(FailureResponses::toResponse, r -> StandInResponse.empty(200));
  }

  StandInResponse get(String name) {
    return objects
        .get(name)
        .fold(
            FailureResponses::toResponse,
            o ->
                o.map(b -> new StandInResponse(200, BINARY_TYPE, b))
                    .orElse(
                        StandInResponse.text(
                            404, XML_TYPE, "<Error><Code>NoSuchKey</Code></Error>")));
  }

  /** Lists the names after a token, which is the last name of the previous page. */
  StandInResponse list(String prefix, String token) {
    return objects
        .list(prefix)
        .fold(
            FailureResponses::toResponse,
            names -> StandInResponse.text(200, XML_TYPE, page(names, token)));
  }

  private static String page(List<String> names, String token) {
    List<String> rest = names.stream().filter(n -> n.compareTo(token) > 0).toList();
    List<String> page = rest.stream().limit(PAGE_SIZE).toList();
    try {
      return xml(page, rest.size() > page.size());
    } catch (XMLStreamException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String xml(List<String> page, boolean truncated) throws XMLStreamException {
    StringWriter text = new StringWriter();
    XMLStreamWriter xml = XMLOutputFactory.newInstance().createXMLStreamWriter(text);
    xml.writeStartDocument();
    xml.writeStartElement("ListBucketResult");
    xml.writeDefaultNamespace(NAMESPACE);
    element(xml, "IsTruncated", Boolean.toString(truncated));
    if (truncated) {
      element(xml, "NextContinuationToken", page.get(page.size() - 1));
    }
    for (String name : page) {
      xml.writeStartElement("Contents");
      element(xml, "Key", name);
      xml.writeEndElement();
    }
    xml.writeEndElement();
    xml.writeEndDocument();
    xml.close();
    return text.toString();
  }

  private static void element(XMLStreamWriter xml, String name, String text)
      throws XMLStreamException {
    xml.writeStartElement(name);
    xml.writeCharacters(text);
    xml.writeEndElement();
  }
}
