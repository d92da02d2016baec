/** A stand-in for model engines: continuous batching in miniature over OpenAI-compatible HTTP. */
package org.guavagw.standins.engine;
