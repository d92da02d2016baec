package org.guavagw.platform.internal.http;

import io.vavr.control.Either;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import javax.xml.XMLConstants;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.guavagw.platform.PlatformFailure;
import org.w3c.dom.Document;
import org.w3c.dom.NodeList;
import org.xml.sax.SAXException;

/**
 * A page of a ListObjectsV2 reply. Immutable.
 *
 * @param nextToken token of the next page; empty on the last page
 */
record S3Listing(List<String> names, Optional<String> nextToken) {
  private static final String NO_DOCTYPE = "http://apache.org/xml/features/disallow-doctype-decl";

  S3Listing {
    names = List.copyOf(names);
  }

  static Either<PlatformFailure, S3Listing> read(byte[] xml) {
    try {
      Document document = factory().newDocumentBuilder().parse(new ByteArrayInputStream(xml));
      List<String> next = texts(document, "NextContinuationToken");
      return Either.right(new S3Listing(texts(document, "Key"), next.stream().findFirst()));
    } catch (ParserConfigurationException | SAXException | IOException e) {
      return Either.left(PlatformFailure.unknown("unreadable listing: " + e.getMessage()));
    }
  }

  private static DocumentBuilderFactory factory() throws ParserConfigurationException {
    DocumentBuilderFactory factory = DocumentBuilderFactory.newInstance();
    factory.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
    factory.setFeature(NO_DOCTYPE, true);
    factory.setExpandEntityReferences(false);
    factory.setXIncludeAware(false);
    factory.setNamespaceAware(true);
    return factory;
  }

  private static List<String> texts(Document document, String element) {
    NodeList nodes = document.getElementsByTagNameNS("*", element);
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < nodes.getLength(); i++) {
      texts.add(nodes.item(i).getTextContent());
    }
    return texts;
  }
}
