mod headers;
mod records;
